# Tests connections to databases that fall silent, started by
# tests/process/databases_silent.sh:
#	perl databases_silent.pl DIRECTORY PLATFORM VM-ADDRESS...
# Readers run all the while. Prints one line per check, and the counts.
use strict;
use warnings;
use POSIX ();
use Time::HiRes qw(time sleep);

BEGIN { require "./tests/process/sessions_lib.pl"; }
our ($platform, $default_vm, $id_prefix, $passed, $failed);

my $ROUNDS = 3;
my $READERS = 12;
my $SILENT_PERCENT = 50;
# The routes time out after 1.5 s.
my $SLOW_S = 1.2;
# Idle connections that are silent are closed within 3 s.
my $ROUND_S = 4;

my ($dir, @vms);
($dir, $platform, @vms) = @ARGV;
$default_vm = $vms[0];
$SIG{PIPE} = "IGNORE";
$SIG{TERM} = $SIG{INT} = sub { exit 1 };
my @readers;
my $log = "$dir/reads";
$| = 1;
END { kill "TERM", @readers if @readers }

# Reads through one VM until it is told to end. Appends "TOOK RESULT" for each.
sub reader {
	my ($n) = @_;
	my $c;
	$id_prefix = "quiet-$n-";
	open my $out, ">>", $log or die;
	$out->autoflush(1);
	my $parent = getppid;
	while (getppid == $parent) {
		sleep 0.02;
		$c = start("b-db", "key-1", $vms[$n % @vms]) unless $c && $c->{ready} eq "I";
		next unless $c && $c->{ready} eq "I";
		my $sent = time;
		query($c, "READ some-item");
		printf $out "%.3f %s\n", time - $sent, done($c) ? "done" : $c->{end};
	}
}

for my $n (0 .. $READERS - 1) {
	my $pid = fork // die "no process for a reader: $!";
	if ($pid == 0) {
		@readers = ();
		$SIG{TERM} = sub { POSIX::_exit(0) };
		reader($n);
		POSIX::_exit(0);
	}
	push @readers, $pid;
}
for my $round (1 .. $ROUNDS) {
	sleep $ROUND_S;
	my $before = counter("silenced");
	control("do=silence_databases&n=$SILENT_PERCENT");
	ok("round $round: connections fall silent", counter("silenced") > $before);
}
sleep $ROUND_S;
kill "TERM", @readers;
waitpid $_, 0 for @readers;
@readers = ();
my @reads = do {
	open my $in, "<", $log or die;
	map { chomp; [split / /, $_, 2] } grep { /\n$/ } <$in>;
};
my @bad = grep { $_->[1] ne "done" } @reads;
my @slow = grep { $_->[0] > $SLOW_S } @reads;
my ($longest) = sort { $b <=> $a } map { $_->[0] } @reads;
printf "# %d reads, %d failed, %d above %.1f s, longest %.2f s\n", scalar @reads,
    scalar @bad, scalar @slow, $SLOW_S, $longest;
ok("no read fails", @reads > 0 && !@bad, @bad ? $bad[0][1] : "no reads");
ok("no read takes most of its time", !@slow);
print "$passed passed, $failed failed\n";
exit($failed ? 1 : 0);
