# Tests claims without an answer, started by tests/process/claim_lost.sh:
#	perl claim_lost.pl PLATFORM VM-ADDRESS...
# Prints one line per check, and the counts.
use strict;
use warnings;
use Time::HiRes qw(time sleep);

BEGIN { require "./tests/process/sessions_lib.pl"; }
our ($platform, $default_vm, $id_prefix, $passed, $failed);

# After a failover the other VMs leave the next one to its VM for 3 s.
my $QUIET_S = 3.5;
my $WAIT_S = 8;
# An attempt that had to begin again would come after a back-off of 700 ms, and
# promote later than this.
my $PROMOTE_S = 2.4;

($platform, my @vms) = @ARGV;
$default_vm = $vms[0];
$id_prefix = "lost-";

sub counters { my %n = control("do=count") =~ /^(\S+) (\S*)$/mg; return %n }

# Each case: name, what happens to the first write of the claim, and the status of
# one that is executed late (0: there is none).
my @cases = (
	["answer lost", "store_lose_replies&n=1", 0],
	["executed before it is read back", "late_claim&n=100", 200],
	["executed after it was written again", "late_claim&n=1500", 409],
);
sleep $QUIET_S;
for (@cases) {
	my ($name, $fault, $late) = @$_;
	my %base = counters();
	my $was = $base{primary};
	control("do=$fault");
	my $since = time;
	control("do=depart&db=$was");
	my %n;
	my $end = time + $WAIT_S;
	do {
		sleep 0.02;
		%n = counters();
	} while ($n{effects} == $base{effects} && time < $end);
	my $took = time - $since;
	printf "# $name: listed after %s ms, claimed after %s ms, promoted after %.2f s\n",
	    $n{listed_ms} // "-", $n{claimed_ms} // "-", $took;
	ok("$name: another database is promoted by the first attempt",
	    $n{primary} ne $was && $n{primary} ne "" && $took <= $PROMOTE_S, sprintf("%.2f s", $took));
	ok("$name: one claim and one promotion",
	    $n{claims} == $base{claims} + 1 && $n{promotions} == $base{promotions} + 1,
	    $n{claims} - $base{claims} . " claims, " . ($n{promotions} - $base{promotions}) .
	    " promotions");
	ok("$name: tokens rise", $n{repeated} == $base{repeated} && $n{fell} == $base{fell} &&
	    $n{token} > $base{token});
	control("do=stay&db=$was");
	sleep $QUIET_S;
	%n = counters();
	ok("$name: a late write ends with $late", $n{late_claim} == $late, $n{late_claim});
	ok("$name: writes succeed", defined write_until_done("item-$late", "data", 20));
}
print "$passed passed, $failed failed\n";
exit($failed ? 1 : 0);
