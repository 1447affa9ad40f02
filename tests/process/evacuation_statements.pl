# Tests statements of steady callers while failure domains are evacuated, started by
# tests/process/evacuation_statements.sh:
#	perl evacuation_statements.pl "CASE..." PLATFORM DIRECTORY EVACUATE-MS \
#	    VM=ADDRESS=PID...
# Database db-N is in the domain z-N. The directory has a file VM.out with the log of
# each VM. All domains are in service before and after each case. Prints one line per
# check, and the counts.
use strict;
use warnings;
use POSIX ();
use Time::HiRes qw(time sleep);

BEGIN { require "./tests/process/sessions_lib.pl"; }
our ($platform, $default_vm, $id_prefix, $passed, $failed);

# Longest duration of a hand-over, and of the failover that may follow a failed one.
my $HAND_OVER_S = 3;
# Time-out of the routes: the longest wait of a statement.
my $TIMEOUT_S = 1.5;
# What shall happen after a case, and has no bound of its own, happens by then.
my $END_S = 15;
# Time of the callers before the first change.
my $BEFORE_S = 0.3;
# For so long statements are counted after they must have stopped.
my $QUIET_S = 0.3;
# For so long after a return the primary must stay.
my $AFTER_S = 0.6;
my $POLL_S = 0.02;
# Pause of a caller between two statements, and of a slow one in a transaction.
my $PAUSE_S = 0.02;
my $SLOW_S = 0.6;
my $SUSPENDED_S = 2;

my ($cases, $dir, $evacuate_ms, @vms);
($cases, $platform, $dir, $evacuate_ms, @vms) = @ARGV;
my $evacuate_s = $evacuate_ms / 1000;
# VMs list the evacuations after a quarter of the time and a delay of up to a fifth.
my $news_s = $evacuate_s / 4 + $evacuate_s / 5;
my (%address, %pid, @names);
for (@vms) {
	my ($name, $address, $pid) = split /=/;
	push @names, $name;
	$address{$name} = $address;
	$pid{$name} = $pid;
}
my $runs = 0;
my @callers;
my $stop = 0;
$| = 1;
$SIG{PIPE} = "IGNORE";
$SIG{TERM} = $SIG{INT} = sub { exit 1 };
END { kill "KILL", @callers if @callers }

# Callers: the route, and what they do on it.
my @profiles = (
	["b-db", "read"], ["o-db", "write"], ["p-db", "tx"], ["o-db", "read"],
	["p-db", "write"], ["o-db", "slow_tx"], ["p-db", "read"], ["b-db", "write"],
	["b-db", "read"], ["o-db", "tx"],
);

# One statement; logs its kind, times, id, end and the items that it confirms.
sub timed {
	my ($out, $c, $kind, $text, @items) = @_;
	my $began = time;
	query($c, $text);
	print $out join("\t", $kind, $began, time, $c->{id}, $c->{end},
	    join(" ", @items)), "\n";
	return $c->{end} =~ /^COMPLETE/;
}

sub transaction {
	my ($c, $out, $item, $pause) = @_;
	my $to = "$item-b";
	timed($out, $c, "tx", "BEGIN") or return;
	timed($out, $c, "tx", "WRITE $item of-tx") or return;
	sleep $pause;
	timed($out, $c, "tx", "READ $item") or return;
	timed($out, $c, "tx", "WRITE $to of-tx") or return;
	timed($out, $c, "commit", "COMMIT", $item, $to);
}

my %acts = (
	read => sub { timed($_[1], $_[0], "read", "READ any") },
	primary_read => sub { timed($_[1], $_[0], "primary_read", "READ any") },
	write => sub { timed($_[1], $_[0], "write", "WRITE $_[2] data", $_[2]) },
	tx => sub { transaction(@_, 0) },
	slow_tx => sub { transaction(@_, $SLOW_S) },
);

# The statements of one caller until it is told to end. Each write has an item of
# its own.
sub caller_process {
	my ($n, $vm) = @_;
	my ($route, $act) = @{$profiles[$n % @profiles]};
	$act = "primary_read" if $route eq "p-db" && $act eq "read";
	my $name = "$names[0]-$runs-$n";
	$id_prefix = "$name-";
	open my $out, ">", "$dir/caller.$names[0].$runs.$n.$vm" or die "$!";
	$out->autoflush(1);
	my $parent = getppid;
	my $c;
	for (my $i = 1; !$stop && getppid == $parent; $i++) {
		$c = start($route, "key-1", $address{$vm})
		    unless $c && $c->{ready} eq "I" && $c->{end} ne "CLOSED";
		$acts{$act}->($c, $out, "$name-$i") if $c && $c->{ready} eq "I";
		sleep $PAUSE_S;
	}
}

# Starts the callers, each at one VM.
sub start_callers {
	$runs++;
	my $n_callers = @names > @profiles ? @names : @profiles;
	for my $n (0 .. $n_callers - 1) {
		my $vm = $names[$n % @names];
		my $child = fork // die "no process for a caller: $!";
		if ($child == 0) {
			@callers = ();
			$SIG{TERM} = sub { $stop = 1 };
			caller_process($n, $vm);
			POSIX::_exit(0);
		}
		push @callers, $child;
	}
}

# Ends the callers and returns all statements, by the time of their results.
sub stop_callers {
	kill "TERM", @callers;
	waitpid $_, 0 for @callers;
	@callers = ();
	my @all;
	for my $file (glob "$dir/caller.$names[0].$runs.*") {
		my ($n, $vm) = $file =~ /\.(\d+)\.(\w+)$/;
		open my $in, "<", $file or die "$!";
		while (<$in>) {
			chomp;
			my %r = (caller => $n, vm => $vm);
			@r{qw(kind began ended id end items)} = split /\t/, $_, -1;
			$r{done} = $r{end} =~ /^COMPLETE/;
			push @all, \%r;
		}
	}
	return sort { $a->{ended} <=> $b->{ended} } @all;
}

# What is known of the platform: its counters; for each evacuated domain the time of
# the store's reply, and when the last statement arrived at its database.
my (%seen, %evacuated, %last_arrival, @late);

# Asks for the counters. Arrivals are taken for as early as they can have been, so
# that a slow answer does not make them late.
sub look {
	my $before = time;
	my %n = control("do=count") =~ /^(\S+) (\S*)$/mg;
	for my $zone (keys %evacuated) {
		my $db = "db-" . substr($zone, 2);
		next if ($seen{"arrived_$db"} // "") eq $n{"arrived_$db"};
		my $at = $before - $n{"idle_ms_$db"} / 1000 - $evacuated{$zone};
		next if $at < 0;
		$last_arrival{$zone} = $at;
		push @late, sprintf "%s %.2f s", $zone, $at if $at > $evacuate_s;
	}
	%seen = %n;
}
# Looks for so long, or until the condition holds; returns the latter.
sub look_for {
	my ($s, $until) = @_;
	my $end = time + $s;
	do {
		look();
		return 1 if $until && $until->();
		sleep $POLL_S;
	} while (time < $end);
	return 0;
}
sub evacuate {
	my ($zone) = @_;
	look();
	control("do=evacuate&zone=$zone");
	$evacuated{$zone} = time;
}
sub give_back {
	my ($zone) = @_;
	look();
	delete $evacuated{$zone};
	control("do=return&zone=$zone");
}
sub zone_of { return "z-" . substr($_[0], 3) }
sub zone_of_primary { return zone_of($seen{primary}) }
# True if there is a primary, and outside the domains.
sub leads_outside {
	my %inside = map { $_ => 1 } @_;
	return $seen{primary} && !$inside{zone_of_primary()};
}
sub replica { my ($n) = grep { $seen{primary} ne "db-$_" } 1 .. 3; return "db-$n" }

# Looks until statements must have stopped in all evacuated domains for a while.
sub look_until_quiet {
	my ($newest) = sort { $b <=> $a } values %evacuated;
	look_for($newest + $evacuate_s + $QUIET_S - time);
}

# Returns the lines that the VMs have logged with the event, with the VM's name.
sub logged {
	my ($event) = @_;
	my @lines;
	for my $vm (@names) {
		open my $f, "<", "$dir/$vm.out" or die "$dir/$vm.out: $!";
		push @lines, map { "$vm $_" } grep { / $event / } <$f>;
	}
	return @lines;
}
sub await_log {
	my ($event, $before) = @_;
	look_for($END_S, sub { logged($event) > $before }) or return "";
	return (logged($event))[-1];
}

# Returns the longest time without a result of the kinds that is good, among the
# statements of the callers that are not left out, over all of them or, "each", for
# each of them.
sub longest_gap {
	my ($r, $kinds, $each) = @_;
	my $longest = 0;
	my %last;
	for my $s (@{$r->{statements}}) {
		next if $s->{kind} !~ /^(?:$kinds)$/ || !$s->{done} || $r->{without}{$s->{vm}};
		my $who = $each ? $s->{caller} : 0;
		my $gap = $s->{ended} - ($last{$who} // $r->{began});
		$longest = $gap if $gap > $longest;
		$last{$who} = $s->{ended};
	}
	return $longest;
}

# Returns the longest time for which reads of one caller failed.
sub longest_failure {
	my ($r) = @_;
	my $longest = 0;
	my %since;
	for my $s (@{$r->{statements}}) {
		next if $s->{kind} ne "read" || $r->{without}{$s->{vm}};
		$since{$s->{caller}} //= $s->{began} if !$s->{done};
		next if !defined $since{$s->{caller}};
		my $took = $s->{ended} - $since{$s->{caller}};
		$longest = $took if $took > $longest;
		delete $since{$s->{caller}} if $s->{done};
	}
	return $longest;
}

# Checks what was written against the results that the callers got.
sub check_writes {
	my ($name, $r) = @_;
	my (%ran, %log);
	for (split /\n/, control("do=writes")) {
		my ($what, $of, $n) = split / /;
		$what eq "ran" ? ($ran{$of} = $n) : $log{$of}++;
	}
	my (@lost, @untrue, @twice);
	for my $s (@{$r->{statements}}) {
		my @items = split / /, $s->{items};
		push @twice, $s->{id} if ($ran{$s->{id}} // 0) > 1;
		push @twice, grep { ($log{$_} // 0) > 1 } @items;
		push @lost, grep { !$log{$_} } @items if $s->{done};
		push @untrue, "$s->{id} $s->{end}"
		    if $s->{end} =~ /not run/ && ($ran{$s->{id}} || grep { $log{$_} } @items);
		push @untrue, "$s->{id} $s->{end}"
		    if $s->{end} =~ /^ERROR ABORTED/ && grep { $log{$_} } @items;
	}
	my @confirmed = grep { $_->{done} && $_->{items} } @{$r->{statements}};
	ok("$name: writes are confirmed", @confirmed > 0);
	ok("$name: no confirmed write is lost", !@lost, "@lost");
	ok("$name: no write runs twice", !@twice, "@twice");
	ok("$name: refusals are true", !@untrue, join("; ", @untrue));
	ok("$name: no commit at a former primary", $seen{old_commits} eq $r->{old_commits});
}

# Checks that what only the primary can run, and begins and ends in this time, is
# refused before its time-out as not run, with a time to come back.
sub check_refusals {
	my ($name, $r, $from, $to) = @_;
	my @in = grep {
		$_->{kind} =~ /^(?:write|primary_read)$/ && !$r->{without}{$_->{vm}} &&
		    $_->{began} >= $from && $_->{ended} <= $to
	} @{$r->{statements}};
	my @bad = grep {
		$_->{end} !~ /^ERROR BUSY .*not run, retry after \d+ ms/ ||
		    $_->{ended} - $_->{began} >= $TIMEOUT_S
	} @in;
	ok("$name: statements are refused at once", @in > 0 && !@bad,
	    @in . " statements; " . join("; ", map { $_->{end} } @bad));
}

# Checks that each caller is served again by the given time.
sub check_service {
	my ($name, $r) = @_;
	my %after;
	for my $s (@{$r->{statements}}) {
		$after{$s->{caller}} //= 0;
		$after{$s->{caller}} ||= $s->{done} && $s->{began} > $r->{refused}[1] &&
		    $s->{ended} <= $r->{served_by};
	}
	my @not = grep { !$after{$_} } sort keys %after;
	ok("$name: all are served again", !@not, "callers @not");
}

# Prints how the statements ended.
sub print_results {
	my ($name, $r) = @_;
	my %ends;
	for my $s (@{$r->{statements}}) {
		my ($how) = $s->{end} =~ /^ERROR (.*)/;
		$ends{$s->{kind} . " " . ($how // $s->{end})}++ if !$s->{done};
	}
	printf "# %s: %d statements; stopped after %s; writes paused %.2f s, reads failed %.2f s\n",
	    $name, scalar @{$r->{statements}},
	    join(", ", map { sprintf "%s %.2f s", $_, $last_arrival{$_} }
	        sort keys %last_arrival) || "-",
	    longest_gap($r, "write|commit"), longest_failure($r);
	print "#   $ends{$_} $_\n" for sort keys %ends;
}

# Runs a case among the callers: "play" makes the changes, and the rest says what is
# expected:
#	moves	how often the primary moves, at most; "moved" tells that it has to
#	pause	longest time without a confirmed write, in seconds; undef: none is set
#	reads	true if reads may fail only for the time until the news
sub run_case {
	my ($name, $case) = @_;
	(%last_arrival, @late) = ();
	look();
	my %r = (began => time, old_commits => $seen{old_commits}, without => {});
	my $effects = $seen{effects};
	my $former = $seen{primary};
	start_callers();
	look_for($BEFORE_S);
	$case->{play}->($name, \%r);
	look_for($AFTER_S);
	ok("$name: there is a primary in the end", look_for($END_S, sub { $seen{primary} }));
	my $primary = $seen{primary};
	$r{statements} = [stop_callers()];
	look();
	print_results($name, \%r);
	ok("$name: no statement arrives after $evacuate_s s", !@late, "@late");
	check_writes($name, \%r);
	my $moves = $seen{effects} - $effects;
	ok("$name: the primary moves $case->{moves} times at most",
	    $moves <= $case->{moves}, "$moves: $former to $primary");
	ok("$name: the primary moved", $primary ne $former) if $case->{moved};
	if (defined $case->{pause}) {
		my $gap = longest_gap(\%r, "write|commit");
		ok("$name: writes go on within $case->{pause} s", $gap <= $case->{pause}, $gap);
	}
	check_refusals($name, \%r, @{$r{refused}}) if $r{refused};
	check_service($name, \%r) if $r{served_by};
	if ($case->{reads}) {
		my $failed = longest_failure(\%r);
		ok("$name: reads fail for $news_s s at most", $failed <= $news_s, $failed);
	}
}

# Evacuates the primary's domain until it must be quiet, and returns it.
sub evacuate_primary {
	my ($name, $then) = @_;
	my $zone = zone_of_primary();
	evacuate($zone);
	$then->() if $then;
	look_until_quiet();
	ok("$name: the primary is outside", leads_outside($zone));
	give_back($zone);
}

# Withdraws the evacuation of the primary's domain after so many seconds.
sub withdrawn {
	my ($after) = @_;
	return {
		moves => 1, pause => $HAND_OVER_S, reads => 1,
		play => sub {
			my $zone = zone_of_primary();
			evacuate($zone);
			look_for($evacuated{$zone} + $after - time);
			give_back($zone);
			look_for($HAND_OVER_S);
		},
	};
}

# Kills the VM that acts in a hand-over once it logs the event.
sub killed {
	my ($event) = @_;
	return {
		# Another VM may have to promote the former primary first.
		moves => 2, moved => 1, pause => 2 * $HAND_OVER_S, reads => 1,
		play => sub {
			my ($name, $r) = @_;
			my $before = logged($event);
			# The VM is killed before the promotion takes effect.
			control("do=effect_ms&n=200");
			evacuate_primary($name, sub {
				my ($vm) = split / /, await_log($event, $before);
				ok("$name: a VM acts", $vm) or return;
				kill "KILL", $pid{$vm};
				$r->{without}{$vm} = 1;
			});
			control("do=effect_ms&n=20");
		},
	};
}

my %run = (
	# Guards against statements and a primary that stay in an evacuated domain.
	primary => {
		moves => 1, moved => 1, pause => $HAND_OVER_S, reads => 1,
		play => sub { evacuate_primary($_[0]) },
	},
	# Guards against a primary that moves though only a replica's domain is evacuated.
	replica => {
		moves => 0, pause => $HAND_OVER_S, reads => 1,
		play => sub {
			my $zone = zone_of(replica());
			evacuate($zone);
			look_until_quiet();
			give_back($zone);
		},
	},
	# Guards against a primary that moves into an evacuated domain, or back.
	two => {
		moves => 2, moved => 1, pause => $HAND_OVER_S, reads => 1,
		play => sub {
			my ($name) = @_;
			my $first = zone_of_primary();
			evacuate($first);
			ok("$name: the primary leaves the first", look_for($evacuate_s,
			    sub { leads_outside($first) }));
			my $second = zone_of_primary();
			evacuate($second);
			look_until_quiet();
			ok("$name: the primary is outside both", leads_outside($first, $second));
			give_back($first);
			give_back($second);
		},
	},
	# Guards against statements that wait although no database can take them.
	all => {
		moves => 1,
		play => sub {
			my ($name, $r) = @_;
			evacuate("z-$_") for 1 .. 3;
			my $known = $evacuated{"z-3"} + $news_s;
			look_until_quiet();
			$r->{refused} = [$known, time];
			give_back("z-$_") for 1 .. 3;
			$r->{served_by} = time + $news_s + $HAND_OVER_S;
			look_for($news_s);
		},
	},
	# Guards against a hand-over that is abandoned after the step-down, as the former
	# primary gets statements again.
	withdrawn_late => {
		moves => 1, pause => $HAND_OVER_S, reads => 1,
		play => sub {
			my $zone = zone_of_primary();
			my $until = time + $END_S;
			evacuate($zone);
			do { look() } while ($seen{primary} && zone_of_primary() eq $zone &&
			    time < $until);
			give_back($zone);
			look_for($HAND_OVER_S);
		},
	},
	withdrawn_50 => withdrawn(0.05),
	withdrawn_200 => withdrawn(0.2),
	withdrawn_800 => withdrawn(0.8),
	# Guards against a hand-over that waits for the replica that receives nothing, or
	# promotes it.
	cut_off => {
		moves => 1, moved => 1, pause => $HAND_OVER_S, reads => 1,
		play => sub {
			my ($name) = @_;
			my $db = replica();
			control("do=cut_off&db=$db&n=1");
			evacuate_primary($name);
			ok("$name: another replica leads", $seen{primary} ne $db);
			control("do=cut_off&db=$db&n=0");
		},
	},
	# Guards against a hand-over that waits for a primary that has died.
	dies => {
		moves => 1, moved => 1, pause => 2 * $HAND_OVER_S, reads => 1,
		play => sub {
			my ($name) = @_;
			my $db = $seen{primary};
			evacuate_primary($name, sub { control("do=stop&db=$db") });
			control("do=start&db=$db");
		},
	},
	killed_fence => killed("handover_start"),
	killed_promote => killed("promote_claim"),
	# Guards against an evacuation that is forgotten, and statements that wait, while
	# the store is away. The replicas receive nothing until it is, so that no
	# hand-over begins before.
	store_away => {
		moves => 1, moved => 1, reads => 1,
		play => sub {
			my ($name, $r) = @_;
			my $zone = zone_of_primary();
			my $before = logged("evacuation_started");
			control("do=cut_off&db=db-$_&n=1") for 1 .. 3;
			look_for($PAUSE_S * 5);
			evacuate($zone);
			await_log("evacuation_started", $before);
			control("do=store_down&n=1");
			my $away = time;
			control("do=cut_off&db=db-$_&n=0") for 1 .. 3;
			look_until_quiet();
			$r->{refused} = [$away + $news_s, time];
			control("do=store_down&n=0");
			ok("$name: the primary is handed over afterwards",
			    look_for($evacuate_s + $HAND_OVER_S,
			        sub { leads_outside($zone) }));
			give_back($zone);
		},
	},
	# Guards against statements of a VM that was suspended when the news came.
	suspended => {
		moves => 1, moved => 1, pause => $SUSPENDED_S + $HAND_OVER_S, reads => 1,
		play => sub {
			my ($name, $r) = @_;
			my $vm = $names[0];
			$r->{without}{$vm} = 1;
			kill "STOP", $pid{$vm};
			evacuate_primary($name, sub {
				look_for($SUSPENDED_S);
				kill "CONT", $pid{$vm};
			});
		},
	},
	# Guards against statements of VMs that were suspended for longer than the time
	# within which they have to stop: all of the primary's domain, so that its owner
	# is among them.
	suspended_long => {
		moves => 1, moved => 1, reads => 1,
		play => sub {
			my ($name, $r) = @_;
			my $zone = zone_of_primary();
			my @in = grep { /(\d+)$/ && ($1 - 1) % 3 + 1 == substr $zone, 2 } @names;
			$r->{without}{$_} = 1 for @in;
			kill "STOP", map { $pid{$_} } @in;
			evacuate($zone);
			look_for($evacuate_s + $QUIET_S);
			kill "CONT", map { $pid{$_} } @in;
			look_for($AFTER_S);
			ok("$name: the primary is outside", leads_outside($zone));
			give_back($zone);
		},
	},
);
for my $name (split / /, $cases) {
	run_case($name, $run{$name});
}
print "$passed passed, $failed failed\n";
exit($failed ? 1 : 0);
