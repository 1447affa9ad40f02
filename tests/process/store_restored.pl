# Tests restorations of the store, started by tests/process/store_restored.sh:
#	perl store_restored.pl "CASE..." DIRECTORY PLATFORM VM=ADDRESS...
# While a case runs, one process per VM writes, and keeps what was acknowledged
# in a file. Prints one line per check, and the counts.
use strict;
use warnings;
use POSIX ();
use Time::HiRes qw(time sleep);

BEGIN { require "./tests/process/sessions_lib.pl"; }
our ($platform, $default_vm, $id_prefix, $passed, $failed);

# The bounds that service and a configuration have to meet, in seconds.
my $SERVICE_S = 20;
my $CONFIG_S = 3;
# VMs start in less, so a test waits no longer for their registrations.
my $REGISTERED_S = 5;

my ($cases, $dir);
($cases, $dir, $platform, my @vms) = @ARGV;
my @names = map { (split /=/)[0] } @vms;
@vms = map { (split /=/)[1] } @vms;
$default_vm = $vms[0];
$SIG{PIPE} = "IGNORE";
$SIG{TERM} = $SIG{INT} = sub { exit 1 };
my $fleet = @vms . " VMs";
my ($case, @writers, %base, $failover_at);
$| = 1;
END { kill "TERM", @writers if @writers }

sub eventually {
	my ($seconds, $check) = @_;
	my $end = time + $seconds;
	until ($check->()) {
		return 0 if time > $end;
		sleep 0.05;
	}
	return 1;
}
sub counters {
	my %n = control("do=count") =~ /^(\S+) (\S*)$/mg;
	return %n;
}

# Writes through one VM until it is told to end. Appends "TIME ITEM DATA
# DATABASE" for each acknowledged write; TIME is when it was sent.
sub writer {
	my ($n) = @_;
	my ($c, $i) = (undef, 0);
	$id_prefix = "$case-$fleet-$n-" =~ s/ //r;
	open my $out, ">>", "$dir/acknowledged-$case" or die;
	$out->autoflush(1);
	my $parent = getppid;
	while (getppid == $parent) {
		sleep 0.04;
		$c = start("o-db", "key-1", $vms[$n]) unless $c && $c->{ready} eq "I";
		next unless $c && $c->{ready} eq "I";
		my ($item, $sent) = ("$case-$n-" . ++$i, time);
		query($c, "WRITE $item data$i");
		my ($db) = $c->{end} =~ /^COMPLETE mac\.(db-\d)/;
		printf $out "%.3f %s %s %s\n", $sent, $item, "data$i", $db if done($c);
	}
}

sub begin {
	($case) = @_;
	%base = counters();
	unlink "$dir/acknowledged-$case";
	$id_prefix = "$case-$fleet-t-" =~ s/ //r;
	for my $n (0 .. $#vms) {
		my $pid = fork // die "no process for a writer: $!";
		if ($pid == 0) {
			@writers = ();
			$SIG{TERM} = sub { POSIX::_exit(0) };
			writer($n);
			POSIX::_exit(0);
		}
		push @writers, $pid;
	}
	eventually(10, sub { my @all = acknowledged(); return @all >= 10 * @vms })
	    or ok("$case, $fleet: writes succeed before", 0);
}

sub acknowledged {
	open my $in, "<", "$dir/acknowledged-$case" or return ();
	my @all = map { chomp; [split / /] } grep { /\n$/ } <$in>;
	return @all;
}

sub end_writers {
	kill "TERM", @writers;
	waitpid $_, 0 for @writers;
	@writers = ();
}

# Age of a copy of before the newest failover, in milliseconds.
sub age { return int((time - $failover_at) * 1000) + 3000 }

# Stops the primary. Returns its id.
sub stop_primary {
	my $was = counter("primary");
	control("do=stop&db=$was");
	$failover_at = time;
	return $was;
}

# Returns true if a write through every VM succeeds.
sub all_serve {
	for my $vm (@vms) {
		my $c = start("o-db", "key-1", $vm);
		return 0 unless $c && $c->{ready} eq "I";
		query($c, "WRITE $case-serves yes");
		return 0 unless done($c);
	}
	return 1;
}

# Checks that all VMs serve within the bound since the case's fault, after as
# many restorations; and a new primary if the former one is given.
sub service_returns {
	my ($since, $restored, $was) = @_;
	my %n;
	my $good = eventually($SERVICE_S, sub {
		%n = counters();
		return $n{restored} == $base{restored} + $restored && !$n{away}
		    && (!defined $was || $n{primary} ne $was) && all_serve();
	});
	my $seen = "restored " . ($n{restored} - $base{restored}) . " of $restored, primary $n{primary}";
	$seen .= ", before $was" if defined $was;
	ok("$case, $fleet: writes succeed via every VM within $SERVICE_S s", $good, $seen);
	printf "# $case, $fleet: writes succeed via every VM after %.1f s\n", time - $since if $good;
}

# The checks at the end of every case.
sub end {
	my %o = @_;
	end_writers();
	my %n = counters();
	ok("$case, $fleet: no token from two holders", $n{repeated} == $base{repeated},
	    $n{repeated} - $base{repeated});
	ok("$case, $fleet: no token below an earlier one", $n{fell} == $base{fell},
	    $n{fell} - $base{fell});
	ok("$case, $fleet: a later promotion has a higher token", $n{token} > $base{token},
	    "$n{token} after $base{token}") if $o{promotes};
	ok("$case, $fleet: no write ran twice", $n{twice} == $base{twice},
	    $n{twice} - $base{twice});
	my @all = acknowledged();
	for my $k (0, 1) {
		my ($lost, $example) = (0, "");
		my ($c, $end);
		for my $a (@all) {
			my $got;
			$end = time + 5;
			while (1) {
				$c = start("p-db", "key-1", $vms[$k])
				    unless $c && $c->{ready} eq "I";
				$got = $c ? value($c, $a->[1]) : "no connection";
				last if $got !~ /^(ERROR|CLOSED|no connection)/ || time > $end;
				$c = undef;
				sleep 0.1;
			}
			next if $got eq $a->[2];
			$lost++;
			$example ||= "$a->[1]: $got, acknowledged by $a->[3]";
			last if time > $end;
		}
		ok("$case, $fleet: acknowledged writes are kept, read via $names[$k]",
		    @all > 0 && $lost == 0,
		    "$lost lost or not read of " . @all . "; $example");
	}
}

# The registrations of the VMs were lost with the store's newest writes.
sub all_register {
	my @missing;
	eventually($REGISTERED_S, sub {
		@missing = grep {
			(http($platform, "/gypsumcleat/objects/proxy-vms/$_"))[0] != 200
		} @names;
		return !@missing;
	});
	ok("$case, $fleet: all VMs are registered again", !@missing, "missing: @missing");
}

# A failover with a restoration right after an event of it.
sub restored_after {
	my ($event, $name) = @_;
	begin($name // $event);
	control("do=old_replies&n=2");
	control("do=restore_at&event=$event&down=800&rewrite=1000&age=" . age());
	my $was = stop_primary();
	service_returns($failover_at, 1, $was);
	control("do=start&db=$was");
	end(promotes => 1);
}

my %run = (
	# A failover without a restoration, whose token later ones must exceed.
	first => sub {
		begin("first");
		my $was = stop_primary();
		service_returns($failover_at, 0, $was);
		control("do=start&db=$was");
		end(promotes => 1);
	},
	claim => sub { restored_after("claim") },
	mark => sub { restored_after("mark") },
	promote => sub { restored_after("promote") },

	# The former primary is silent, does not hear of the promotion, and serves
	# again as soon as the promotion has taken effect.
	effect => sub {
		begin("effect");
		my $was = counter("primary");
		control("do=restore_at&event=effect&down=800&rewrite=1000&age=" . age());
		# Silent first: a database that is cut off before it is silent
		# acknowledges writes that no replica receives.
		control("do=mute_open&db=$was");
		control("do=unreachable&db=$was&n=1");
		$failover_at = time;
		my $done = eventually($SERVICE_S,
		    sub { counter("effects") > $base{effects} });
		my $effect_at = time;
		ok("$case, $fleet: another database is promoted", $done);
		control("do=mute&n=0&db=$was");
		service_returns($failover_at, 1, $was);
		my @old = grep { $_->[0] > $effect_at && $_->[3] eq $was } acknowledged();
		ok("$case, $fleet: the former primary acknowledges no write",
		    $done && @old == 0,
		    $done ? @old . " writes" : "no other one was promoted");
		my %n = counters();
		print "# $case, $fleet: ", $n{old_commits} - $base{old_commits},
		    " commits at the former primary\n";
		control("do=unreachable&db=$was&n=0");
		end(promotes => 1);
	},

	# The copy has neither the withdrawal of a key nor the present routes. The
	# configuration written after the return has a lower revision.
	config => sub {
		begin("config");
		my $key = sub { # key vm
			my $c = start("o-db", $_[0], $_[1]);
			return $c ? $c->{end} || $c->{ready} : "no connection";
		};
		my ($bad, $asked, $example) = (0, 0, "");
		my $ask = sub {
			for my $vm (@vms) {
				my $got = $key->("key-2", $vm);
				$asked++;
				next if $got =~ /^ERROR NOAUTH/;
				$bad++;
				$example ||= $got;
			}
		};
		ok("$case, $fleet: the key works before", $key->("key-2", $vms[0]) eq "I");
		# So many revisions that those after the return are lower.
		control("do=rate&n=1000") for 1 .. 40;
		control("do=withdraw&key=key-2");
		ok("$case, $fleet: the key is withdrawn within $CONFIG_S s",
		    eventually($CONFIG_S, sub {
			return !grep { $key->("key-2", $_) !~ /^ERROR NOAUTH/ } @vms;
		    }));
		my $before = counter("revision");
		control("do=restore&age=100000000&down=800&rewrite=1500");
		my $since = time;
		my %n;
		ok("$case, $fleet: the configuration is written again",
		    eventually($SERVICE_S, sub {
			$ask->();
			%n = counters();
			return $n{restored} > $base{restored} && !$n{to_write_again};
		    }));
		%n = counters();
		ok("$case, $fleet: revisions fell", $n{revision} < $before,
		    "$n{revision} after $before");
		control("do=add_key&key=key-3");
		my @without;
		my $good = eventually($CONFIG_S, sub {
			$ask->();
			@without = grep { $key->("key-3", $vms[$_]) ne "I" } 0 .. $#vms;
			return !@without;
		});
		ok("$case, $fleet: a configuration with a lower revision is in force within $CONFIG_S s",
		    $good, "not at @names[@without]");
		ok("$case, $fleet: the withdrawn key is refused all the while", $bad == 0,
		    "$bad of $asked: $example");
		service_returns($since, 1);
		all_register();
		end();
	},

	# The second restoration follows as soon as the store is back.
	twice => sub {
		begin("twice");
		control("do=old_replies&n=2");
		control("do=restore_at&event=claim&down=500&rewrite=3000&age=" . age());
		my $was = stop_primary();
		ok("$case, $fleet: first restoration", eventually($SERVICE_S,
		    sub { counter("restored") > $base{restored} }));
		control("do=old_replies&n=4");
		control("do=restore&down=500&rewrite=1000&age=2000");
		service_returns($failover_at, 2, $was);
		control("do=start&db=$was");
		all_register();
		end(promotes => 1);
	},

	# The script kills all VMs between these two, right after the return.
	before_kill => sub {
		begin("kill");
		control("do=restore&down=800&rewrite=1500&age=" . age());
		ok("$case, $fleet: the store is restored", eventually($SERVICE_S,
		    sub { counter("restored") > $base{restored} }));
		end_writers();
	},
	after_kill => sub {
		my @all;
		$case = "kill";
		@all = acknowledged();
		begin("killed");
		service_returns(time, 0);
		my $was = stop_primary();
		service_returns($failover_at, 0, $was);
		control("do=start&db=$was");
		end(promotes => 1);
		my $lost = 0;
		my $c = start("p-db", "key-1");
		for my $a (@all) {
			$lost++ if value($c, $a->[1]) ne $a->[2];
		}
		ok("$case, $fleet: writes of before are kept", @all > 0 && $lost == 0,
		    "$lost of " . @all);
	},
);

control("do=effect_ms&n=200");
for my $name (split / /, $cases) {
	$run{$name}->();
}
print "$passed passed, $failed failed\n";
exit($failed ? 1 : 0);
