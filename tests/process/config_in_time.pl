# Tests how soon configurations come into force and departures of databases are
# learned, started by tests/process/config_in_time.sh:
#	perl config_in_time.pl "CASE..." PLATFORM DIRECTORY VM=ADDRESS...
# The directory has a file VM.out with the log of each VM.
# Prints one line per check, and the counts.
use strict;
use warnings;
use Time::HiRes qw(time sleep);

BEGIN { require "./tests/process/sessions_lib.pl"; }
our ($platform, $default_vm, $passed, $failed);

# The time within which a configuration has to be in force, in seconds.
my $CONFIG_S = 3;
# Half of that is for the first VM to find it, half for the others to get it.
my $SPREAD_S = $CONFIG_S / 2;
# The time after which a departing database must not be sent statements.
my $DEPARTS_S = 7;
# Time for a fleet in which only some VMs read to find those that are answered:
# three rounds of calls that time out.
my $SETTLE_S = 6;
# A fleet that has started lists its VMs a second time within this time.
my $CALM_S = 5;
# What is late ends by then, so that the next change is judged alone.
my $END_S = 30;
my $CHANGES = 4;
# Each change comes so long after the one before that watches are held again.
my ($PAUSE_MIN_S, $PAUSE_MAX_S) = (1.3, 2.3);
srand(5);

my ($cases, $dir);
($cases, $platform, $dir, my @vms) = @ARGV;
my %at = map { split /=/ } @vms;
my $key = 10;
$| = 1;

# Returns the VMs on which a key does not work yet.
sub without {
	my ($k) = @_;
	return grep {
		my $c = start("o-db", $k, $at{$_});
		!$c || $c->{ready} ne "I";
	} sort keys %at;
}

# Adds a key and returns the seconds until it works on all VMs. "while" is called
# with 1 right before and with 0 soon after.
sub change {
	my ($while) = @_;
	my $name = "key-" . ++$key;
	sleep $PAUSE_MIN_S + rand($PAUSE_MAX_S - $PAUSE_MIN_S);
	$while->(1);
	my $since = time;
	control("do=add_key&key=$name");
	sleep 0.3;
	$while->(0);
	while (without($name) && time - $since < $END_S) {
		sleep 0.03;
	}
	return time - $since;
}
sub watches_are_deaf { control("do=watches_deaf&n=$_[0]") }

# Returns the number of departures, and of their ends, that each VM has logged.
sub departures {
	my %n;
	for my $vm (keys %at) {
		open my $f, "<", "$dir/$vm.out" or die "$dir/$vm.out: $!";
		$n{$vm} = grep { / db_departs / } <$f>;
	}
	return %n;
}

# Lets a database announce its departure, or take that back, and returns the
# seconds until all VMs have learned it.
sub departure {
	my ($what) = @_;
	my %before = departures();
	my $since = time;
	control("do=$what&db=db-3");
	while (time - $since < $END_S) {
		my %now = departures();
		last if !grep { $now{$_} <= $before{$_} } keys %at;
		sleep 0.05;
	}
	return time - $since;
}

# Changes and departures while the store turns all but one VM away.
sub turned_away {
	my ($what, $how) = @_;
	control("do=turn_away&n=$how");
	my @took = map { change(\&watches_are_deaf) } 1 .. $CHANGES;
	ok("$what: in force within $CONFIG_S s", !(grep { $_ > $CONFIG_S } @took));
	my @learned = map { departure($_) } "depart", "stay", "depart", "stay";
	ok("$what: departures learned within $DEPARTS_S s",
	    !(grep { $_ > $DEPARTS_S } @learned));
	control("do=turn_away&n=0");
	print "# $what: ", join(" ", map { sprintf "%.2f", $_ } @took), " s, departures ",
	    join(" ", map { sprintf "%.2f", $_ } @learned), " s\n";
}

# Counts the VMs on which a withdrawn key works.
sub with {
	my ($k) = @_;
	return grep {
		my $c = start("o-db", $k, $at{$_});
		$c && $c->{end} !~ /^ERROR NOAUTH/;
	} keys %at;
}

# The store comes back from a copy that lacks the withdrawal of a key, while it
# answers one VM only; it answers all again before the next change, which has a
# lower revision than the withdrawal.
sub restored {
	my ($what) = @_;
	control("do=rate&n=1000") for 1 .. 40;
	control("do=withdraw&key=key-2");
	my $since = time;
	sleep 0.03 while with("key-2") && time - $since < $END_S;
	ok("$what: a key is withdrawn within $CONFIG_S s", time - $since <= $CONFIG_S);
	my $before = counter("revision");
	my $restored = counter("restored");
	control("do=turn_away&n=2");
	control("do=restore&age=100000000&down=500&rewrite=1500");
	my $bad = 0;
	my %n;
	my $ask = sub {
		$bad += with("key-2");
		%n = control("do=count") =~ /^(\S+) (\S*)$/mg;
	};
	$since = time;
	do { $ask->() } while (($n{restored} == $restored || $n{to_write_again}) &&
	    time - $since < $END_S);
	control("do=turn_away&n=0");
	my $name = "key-" . ++$key;
	$since = time;
	control("do=add_key&key=$name");
	do { $ask->() } while (without($name) && time - $since < $END_S);
	my $took = time - $since;
	ok("$what: revisions fell", $n{restored} > $restored && $n{revision} < $before,
	    "$n{revision} after $before");
	ok("$what: a lower revision is in force within $CONFIG_S s", $took <= $CONFIG_S,
	    "$took s");
	ok("$what: the withdrawn key is refused all the while", $bad == 0, "$bad times");
}

my %run = (
	restored => sub { restored("the store is restored while most VMs are not answered") },
	# The VMs take the platform for answering until the first call has timed out.
	from_now_on => sub {
		my $took = change(sub { control("do=turn_away&n=2") if $_[0] });
		control("do=turn_away&n=0");
		ok("most VMs are not answered from now on: in force everywhere within $SPREAD_S s",
		    $took <= $SPREAD_S, "$took s");
	},
	all => sub { turned_away("all VMs reach the store", 0) },
	busy => sub { turned_away("most VMs are answered 503 and 429", 1) },
	silent => sub { turned_away("most VMs are not answered", 2) },
	# All VMs that read fall silent at once, and a change follows.
	readers_silent => sub {
		sleep $CALM_S;
		my $took = change(sub { control("do=turn_away&n=2") if $_[0] });
		ok("all VMs that read are answered no longer: in force within $CONFIG_S s",
		    $took <= $CONFIG_S, "$took s");
		printf "# all VMs that read are answered no longer: %.2f s\n", $took;
	},
	# The same once the VMs that the platform answers have been found.
	settled_silent => sub {
		control("do=turn_away&n=2");
		sleep $SETTLE_S;
		turned_away("most VMs are not answered for a while", 2);
	},
	reset => sub { turned_away("most VMs are reset", 3) },
);
for my $name (split / /, $cases) {
	$run{$name}->();
}
print "$passed passed, $failed failed\n";
exit($failed ? 1 : 0);
