# Tests connections to the store that fall silent, started by
# tests/process/store_silent.sh:
#	perl store_silent.pl DIRECTORY PLATFORM VM-ADDRESS...
# Writers run on some VMs all the while. Prints one line per check, and the counts.
use strict;
use warnings;
use POSIX ();
use Time::HiRes qw(time sleep);

BEGIN { require "./tests/process/sessions_lib.pl"; }
our ($platform, $default_vm, $id_prefix, $passed, $failed);

my $ROUNDS = 3;
my $WRITERS = 3;
my $SILENT_PERCENT = 70;
# Time from the departure of a primary to the claim for it.
my $CLAIM_MS = 700;
# Of that, the time after the first list that tells the departure. How long it takes to
# that list depends on when the databases were listed last.
my $LISTED_CLAIM_MS = 500;
# After a failover the other VMs leave the next one to its VM for 3 s.
my $QUIET_S = 3.5;
# Service returns by then after a departure; what fails before is of the hand-over.
my $HAND_OVER_S = 3;
my $WAIT_S = 8;

my ($dir, @vms);
($dir, $platform, @vms) = @ARGV;
$default_vm = $vms[0];
$SIG{PIPE} = "IGNORE";
$SIG{TERM} = $SIG{INT} = sub { exit 1 };
my $fleet = @vms . " VMs";
my @writers;
my $log = "$dir/writes-" . @vms;
$| = 1;
END { kill "TERM", @writers if @writers }

sub counters { my %n = control("do=count") =~ /^(\S+) (\S*)$/mg; return %n }
sub eventually {
	my ($seconds, $check) = @_;
	my $end = time + $seconds;
	until ($check->()) {
		return 0 if time > $end;
		sleep 0.02;
	}
	return 1;
}

# Writes through one VM until it is told to end. Appends "TIME RESULT" for each.
sub writer {
	my ($n) = @_;
	my ($c, $i) = (undef, 0);
	$id_prefix = "silent-" . @vms . "-$n-";
	open my $out, ">>", $log or die;
	$out->autoflush(1);
	my $parent = getppid;
	while (getppid == $parent) {
		sleep 0.05;
		$c = start("o-db", "key-1", $vms[$n]) unless $c && $c->{ready} eq "I";
		my $sent = time;
		query($c, "WRITE item-$n-" . ++$i . " data") if $c && $c->{ready} eq "I";
		printf $out "%.3f %s\n", $sent, $c && done($c) ? "done" : $c ? $c->{end} : "no connection";
	}
}

sub end_writers {
	kill "TERM", @writers;
	waitpid $_, 0 for @writers;
	@writers = ();
}

for my $n (0 .. $WRITERS - 1) {
	my $pid = fork // die "no process for a writer: $!";
	if ($pid == 0) {
		@writers = ();
		$SIG{TERM} = sub { POSIX::_exit(0) };
		writer($n);
		POSIX::_exit(0);
	}
	push @writers, $pid;
}
my %base = counters();
my @hand_overs;
for my $round (1 .. $ROUNDS) {
	my $name = "$fleet, round $round";
	sleep $QUIET_S;
	my %before = counters();
	control("do=silence_open&n=$SILENT_PERCENT");
	my %n = counters();
	ok("$name: connections fall silent", $n{silenced} > $before{silenced});
	sleep 1.5;
	my $was = counter("primary");
	push @hand_overs, time;
	control("do=depart&db=$was");
	ok("$name: the primary departs", !counter("claimed_ms"));
	my $good = eventually($WAIT_S, sub {
		%n = counters();
		return $n{claimed_ms} && $n{primary} ne $was;
	});
	my $seen = "listed after " . ($n{listed_ms} // "-") . " ms, claimed after " .
	    ($n{claimed_ms} // "-") . " ms";
	print "# $name: $seen\n";
	ok("$name: the failover begins within $CLAIM_MS ms",
	    $good && $n{claimed_ms} <= $CLAIM_MS, $seen);
	ok("$name: the claim follows the list within $LISTED_CLAIM_MS ms",
	    $good && $n{claimed_ms} <= $n{listed_ms} + $LISTED_CLAIM_MS, $seen);
	control("do=stay&db=$was");
}
sleep 1;
end_writers();
my %n = counters();
my @writes = do {
	open my $in, "<", $log or die;
	map { chomp; [split / /, $_, 2] } grep { /\n$/ } <$in>;
};
my @bad = grep { $_->[1] ne "done" } @writes;
my @outside = grep {
	my $at = $_->[0];
	!grep { $at > $_ - 1.5 && $at < $_ + $HAND_OVER_S } @hand_overs
} @bad;
printf "# $fleet: %d writes, %d failed\n", scalar @writes, scalar @bad;
ok("$fleet: no write fails but during a hand-over", @writes > 0 && !@outside,
    @outside ? $outside[0][1] : "no writes");
ok("$fleet: no write ran twice", $n{twice} == $base{twice});
ok("$fleet: no token from two holders", $n{repeated} == $base{repeated});
ok("$fleet: no token below an earlier one", $n{fell} == $base{fell});
print "$passed passed, $failed failed\n";
exit($failed ? 1 : 0);
