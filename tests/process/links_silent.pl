# Statements across links between VMs that fall silent while new ones work:
#	links_silent.pl DIR PLATFORM RELAY PID PEER VM...
# PID is that of the first VM, PEER its address for links. Prints one line per check, the times as measured,
# and the counts. Guards against statements that end as in doubt, are lost or run
# twice although the VM that executes them could tell what became of them.
use strict;
use warnings;
use Time::HiRes qw(time sleep);

BEGIN { require "./tests/process/sessions_lib.pl"; }
our ($platform, $default_vm, $passed, $failed, $id_prefix);
my ($dir, $relay, $pid, $peer, @vms);
($dir, $platform, $relay, $pid, $peer, @vms) = @ARGV;
$default_vm = $vms[0];

use constant CALLERS => 12;	# of each kind
use constant PLAY_S => 3;	# a play lasts so long
use constant FAULT_S => 1;	# the fault comes then
use constant SERVICE_S => 2;	# times are measured for so long after it

sub relay_command {
	my $s = IO::Socket::INET->new(PeerAddr => $relay) or die "relay: $!";
	print $s "$_[0]\n";
	return 0 + (<$s> // 0);
}

# One statement; writes its kind, times, end and what it wrote to the file.
sub timed {
	my ($out, $c, $kind, $text, $wrote) = @_;
	my $began = time;
	my $end = query($c, $text);
	print $out join("\t", $kind, $began, time - $began, $end, $c->{id}, $wrote // ""), "\n";
	return $end =~ /^COMPLETE/;
}

# The statements of one caller, until the time; each writes to an item of its own.
my %callers = (
	read => sub { timed($_[1], $_[0], "read", "READ any") },
	write => sub {
		my ($c, $out, $item, $n) = @_;
		timed($out, $c, "write", "WRITE $item v$n", "$item v$n");
	},
	tx => sub {
		my ($c, $out, $item, $n) = @_;
		timed($out, $c, "tx", "BEGIN") or return;
		timed($out, $c, "tx", "WRITE $item v$n") or return;
		sleep(0.05 * ($n % 8));
		timed($out, $c, "tx", "READ $item") or return;
		timed($out, $c, "commit", "COMMIT", "$item v$n");
	},
);

sub caller_process {
	my ($play, $kind, $n) = @_;
	my $child = fork // die "fork: $!";
	return $child if $child;
	$id_prefix = "$play$kind$n-";
	open(my $out, '>', "$dir/silent.$play.$kind.$n") or die "$!";
	my $vm = $vms[$n % @vms];
	my $c = start("o-db", "key-1", $vm);
	my $until = time + PLAY_S;
	for (my $i = 1; time < $until; $i++) {
		$callers{$kind}->($c, $out, "$play-$kind-$n", $i);
		$c = start("o-db", "key-1", $vm)
		    if !$c || $c->{ready} ne "I" || $c->{end} eq "CLOSED";
		sleep(0.01);
	}
	close($out);
	require POSIX;
	POSIX::_exit(0);
}

sub results {
	my ($play) = @_;
	my @all;
	for my $file (glob("$dir/silent.$play.*")) {
		open(my $in, '<', $file) or die "$!";
		while (<$in>) {
			chomp;
			my %r;
			@r{qw(kind began took end id wrote)} = split /\t/;
			push @all, \%r;
		}
	}
	return @all;
}

# The newest confirmed write of each item must be there, or a later one that was
# not confirmed.
sub lost_writes {
	my @all = @_;
	my %last;
	for my $r (@all) {
		next if !$r->{wrote};
		my ($item, $data) = split / /, $r->{wrote};
		$last{$item} = substr($data, 1) if $r->{end} =~ /^COMPLETE/;
	}
	my $c = start("o-db", "key-1");
	query($c, "WRITE after all");	# reads of this session follow it
	return grep { value($c, $_) !~ /^v(\d+)/ || $1 < $last{$_} } sort keys %last;
}

sub print_times {
	my ($play, $fault, @all) = @_;
	for my $kind (qw(read write tx commit)) {
		my @t = sort { $a <=> $b } map { 1000 * $_->{took} }
		    grep { $_->{kind} eq $kind && $_->{began} + $_->{took} > $fault
			&& $_->{began} < $fault + SERVICE_S } @all;
		next if !@t;
		printf "# %s: %s: %d statements after the fault, 95%% in %.0f ms, all in %.0f ms\n",
		    $play, $kind, scalar @t, $t[0.95 * $#t], $t[-1];
	}
}

sub play {
	my ($play, $name, $fault) = @_;
	my @children;
	for my $kind (sort keys %callers) {
		push @children, caller_process($play, $kind, $_) for 1 .. CALLERS;
	}
	sleep(FAULT_S);
	my $at = time;
	$fault->();
	waitpid($_, 0) for @children;
	my @all = results($play);
	my %bad;
	$bad{$_->{end}}++ for grep { $_->{end} !~ /^COMPLETE/ } @all;
	my @lost = lost_writes(@all);
	print_times($play, $at, @all);
	ok("$name: every statement gets its result", !%bad,
	    join("; ", map { "$bad{$_} of $_" } sort keys %bad));
	ok("$name: no confirmed write is lost", !@lost, "@lost");
	ok("$name: no write ran twice", counter("twice") eq "0", counter("twice"));
}

# Transactions that are open and idle as the links fall silent go on later, within
# the second that the configuration lets them be idle.
sub idle_transactions {
	my @open = map { start("o-db", "key-1", $_) } (@vms) x 2;
	for my $n (0 .. $#open) {
		query($open[$n], "BEGIN");
		query($open[$n], "WRITE idle-$n one");
	}
	relay_command("silence both");
	sleep(0.6);
	# All at once: one after the other the last ones would be idle for longer than
	# the configuration lets them, as each link takes 0.2 s to be replaced.
	my $began = time;
	send_query($open[$_], "WRITE idle-$_ two") for 0 .. $#open;
	for my $n (0 .. $#open) {
		read_reply($open[$n]);
		printf "# idle: the next statement took %.0f ms\n", 1000 * (time - $began);
		query($open[$n], "COMMIT");
		ok("an idle transaction goes on, $n", done($open[$n]), $open[$n]{end});
	}
}

# Links on which nothing waits are probed and replaced before the next statement.
sub idle_links {
	my @c = map { start("o-db", "key-1", $_) } @vms;
	query($_, "WRITE quiet one") for @c;
	relay_command("silence both");
	sleep(1.5);
	for my $n (0 .. $#c) {
		my $began = time;
		query($c[$n], "WRITE quiet two");
		printf "# quiet: the next statement took %.0f ms\n", 1000 * (time - $began);
		ok("a write after a quiet time is done, $n", done($c[$n]), $c[$n]{end});
	}
}

# Guards against a message that ends a VM, or that is acted on although the other
# end may not send it. A message is a msgpack array; the first field is its type.
use constant {
	HELLO => "\x94\x09\xa1x\x01\x02",	# VM "x", incarnation 1, link 2
	PING => "\x91\x05",
	PONG => "\x91\x06",
};
# A read at a database of the service, with so many microseconds to its deadline
# and since it began, as eight bytes each.
sub run_message {
	my ($left, $age) = @_;
	return "\xdc\x00\x14\x01\x07\x08" . "\xa6quotes\xa4db-1\xa1t" . "\x00"
	    . "\xcf$left\xcf$age" . "\x00" x 4 . "\xa0" . "\x00" x 3
	    . "\x90\x90\xc4\x13QUERY q-1 READ item";
}
my @messages = (
	["HELLO is taken", PONG, HELLO, PING],
	["another message before HELLO", "", PING],
	["HELLO without a name", "", "\x94\x09\xa0\x01\x02"],
	["HELLO without a link id", "", "\x94\x09\xa1x\x01\x00"],
	["HELLO that is cut off", "", "\x92\x09\xa1x"],
	["HELLO twice", "", HELLO, HELLO],
	["RUN that is cut off", "", HELLO, "\x93\x01\x01\x01"],
	["DONE from the end that opened the link", "", HELLO, "\x92\x03\x01"],
	["RESUMED from the end that opened the link", "", HELLO, "\x92\x0b\x90"],
	["RESUME of an unknown link", "\x92\x0b\x93\x07\x08\x03", HELLO,
	    "\x93\x0a\x05\x92\x07\x08"],
	["RESUME of the link itself", "", HELLO, "\x93\x0a\x02\x90"],
	["RESUME with half a stream", "", HELLO, "\x93\x0a\x05\x91\x07"],
	["RESUME with a stream that is no number", "", HELLO,
	    "\x93\x0a\x05\x92\xa1x\x08"],
	["RESUME after another message", "", HELLO, PING, "\x93\x0a\x05\x90"],
	["a type that does not exist", "", HELLO, "\x91\x7f"],
	["no array", "", HELLO, "\xa1x"],
	["RUN whose deadline is too far away", "", HELLO,
	    run_message("\x7f" . "\xff" x 7, "\x00" x 8)],
	["RUN whose age is too large", "", HELLO,
	    run_message("\x00" x 8, "\x80" . "\x00" x 7)],
);

# The answer of so many bytes; 0: what arrives until the link is closed, without a
# PONG, which may be sent before that or not.
sub answer_of {
	my ($s, $length) = @_;
	my $got = "";
	local $SIG{ALRM} = sub { die "no answer\n" };
	eval {
		alarm 5;
		while (!$length || length $got < $length) {
			sysread($s, $got, $length || 4096, length $got) or last;
		}
		alarm 0;
	};
	return $@ if $@;
	my $pong = pack('N/a*', PONG);
	$got =~ s/^\Q$pong\E// if !$length;
	return $got;
}

sub malformed_messages {
	for my $m (@messages) {
		my ($name, $want, @send) = @$m;
		my $s = IO::Socket::INET->new(PeerAddr => $peer, Timeout => 5) or die "$peer: $!";
		print $s pack('(N/a*)*', @send);
		my $answer = $want ne "" ? pack('N/a*', $want) : "";
		my $got = answer_of($s, length $answer);
		ok("message: $name", $got eq $answer, unpack('H*', $got));
	}
	my $c = start("o-db", "key-1");
	query($c, "WRITE after malformed");
	ok("a write after malformed messages is done", done($c), $c->{end});
}

for my $way (qw(both from to)) {
	play($way, "links silent ($way)", sub { relay_command("silence $way") });
}
play("twice", "links silent once more after 120 ms", sub {
	relay_command("silence from");
	sleep(0.12);
	relay_command("silence both");
});
play("reset", "links reset, twice", sub {
	relay_command("reset");
	sleep(0.3);
	relay_command("reset");
});
play("stands", "a VM stands still for 300 ms, three times", sub {
	for (1 .. 3) {
		kill STOP => $pid;
		sleep(0.3);
		kill CONT => $pid;
		sleep(0.2);
	}
});
play("slices", "a VM runs 12 of 100 ms, for a second", sub {
	for (1 .. 10) {
		kill STOP => $pid;
		sleep(0.088);
		kill CONT => $pid;
		sleep(0.012);
	}
});
idle_transactions();
idle_links();
malformed_messages();
print "$passed passed, $failed failed\n";
