# Writes at each VM until the service is served again; started by process tests:
#	perl serves_again.pl ITEM PLATFORM VM-ADDRESS...
# Prints one line per check, and the counts.
use strict;
use warnings;
use Time::HiRes qw(time sleep);

BEGIN { require "./tests/process/sessions_lib.pl"; }
our ($platform, $default_vm, $id_prefix, $passed, $failed);

# The users' bound (RECOVER): requests are served this long after all VMs are back.
my $RECOVERY_S = 12;

(my $item, $platform, my @vms) = @ARGV;
$id_prefix = "$item-";
$SIG{PIPE} = "IGNORE";

sub counters { my %n = control("do=count") =~ /^(\S+) (\S*)$/mg; return %n }

# Writes at a VM until one succeeds or the time is over. Returns the last reply.
sub write_at {
	my ($vm, $name, $end) = @_;
	my $c;
	do {
		$c = start("o-db", "key-1", $vm);
		query($c, "WRITE $name data") if $c && $c->{ready} eq "I";
		return "done" if $c && done($c);
		sleep 0.1;
	} while (time < $end);
	return $c ? $c->{end} : "no connection";
}

my $since = time;
my $n = 0;
for my $vm (@vms) {
	my $end = write_at($vm, "$item-" . ++$n, $since + $RECOVERY_S);
	ok("VM $n serves a write within $RECOVERY_S s", $end eq "done", $end);
}
printf "# %s: all served after %.2f s\n", $item, time - $since;
my %n = counters();
ok("no write ran twice", $n{twice} == 0);
ok("no token repeated or fell", $n{repeated} == 0 && $n{fell} == 0);
print "$passed passed, $failed failed\n";
exit($failed ? 1 : 0);
