# A session writes, its route leads to other services, where it writes as well, and
# back; then it reads. Started by tests/process/route_returns.sh:
#	perl route_returns.pl PLATFORM VM-ADDRESS...
# Prints one line per check, and the counts.
use strict;
use warnings;
use Time::HiRes qw(time sleep);

BEGIN { require "./tests/process/sessions_lib.pl"; }
our ($platform, $default_vm, $id_prefix, $passed, $failed);

($platform, my @vms) = @ARGV;
$id_prefix = "route";
$SIG{PIPE} = "IGNORE";

# The staleness bound of the route, in seconds: later reads see the write anyway.
my $BOUND_S = 1.5;
# Longer than that: how far behind the replicas are.
my $LAG_MS = 4000;
my $CONFIG_S = 1;

# Databases of the services, in the order in which the platform adds them.
my %databases = (quotes => [1, 2, 3], b => [4, 5], c => [6, 7], d => [8, 9]);

sub lag { control("do=lag&db=db-$_&n=$_[0]") for 2, 3 }

# Lets the route lead to a service, and waits until the session's VM follows.
sub lead {
	my ($c, $service) = @_;
	my $in = join "|", @{$databases{$service}};
	my $end = time + $CONFIG_S;
	control("do=lead&of=o-db&service=$service");
	do { query($c, "READ nothing") } until $c->{end} =~ /mac\.db-(?:$in)\./ || time > $end;
	return $c->{end} =~ /mac\.db-(?:$in)\./;
}

# Writes as a statement, or in a transaction.
sub put {
	my ($c, $item, $data, $in_tx) = @_;
	query($c, "BEGIN") if $in_tx;
	query($c, "WRITE $item $data");
	query($c, "COMMIT") if $in_tx;
	return done($c);
}

my @cases = (
	{ name => "one service in between", via => ["b"] },
	{ name => "commits in transactions", via => ["b"], in_tx => 1 },
	{ name => "two services in between", via => ["b", "c"] },
	{ name => "back in between", via => ["b", "quotes", "c"] },
	{ name => "reads only in between", via => ["b"], reads => 1 },
	{ name => "more services than a session keeps", via => ["b", "c", "d", "b", "c", "d"] },
	{ name => "its commits are elsewhere", via => ["b"], own_first => 1 },
	{ name => "a failover in between", via => ["b"], failover => 1 },
);

control("do=add_service&of=$_") for sort grep { $_ ne "quotes" } keys %databases;
my $round = 0;
for my $case (@cases) {
	for my $vm (0 .. $#vms) {
		my $name = "$case->{name}, VM " . ($vm + 1);
		my $c = start("o-db", "key-1", $vms[$vm]);
		my $item = "item" . ++$round;
		lead($c, "quotes");
		my $ready = put($c, $item, "old");
		sleep 0.2;
		lag($LAG_MS);
		# Only a commit at another service came before the one to be seen.
		$ready &&= lead($c, "b") && put($c, "x", "y") && lead($c, "quotes")
		    if $case->{own_first};
		$ready &&= put($c, $item, "new", $case->{in_tx});
		my $written = time;
		for my $service (@{$case->{via}}) {
			$ready &&= lead($c, $service);
			$ready &&= $case->{reads} || put($c, "elsewhere", $round, $case->{in_tx});
		}
		if ($case->{failover}) {
			my $was = counter("primary");
			control("do=stop&db=$was");
			my $end = time + 10;
			sleep 0.1 while counter("primary") =~ /^(?:$was|)$/ && time < $end;
			$ready &&= counter("primary") ne $was;
			control("do=start&db=$was");
		}
		$ready &&= lead($c, "quotes");
		my ($reads, $stale) = (0, 0);
		do {
			my $seen = value($c, $item);
			$reads += done($c);
			$stale += done($c) && $seen ne "new";
			sleep 0.02;
		} while (time - $written < $BOUND_S);
		ok("$name: the session writes and its route returns", $ready, $c->{end});
		ok("$name: it sees its own write", $reads > 0 && $stale == 0,
		    "$stale of $reads reads were stale");
		close $c->{s};
		lag(5);
		sleep 0.1;
	}
}
print "$passed passed, $failed failed\n";
exit($failed ? 1 : 0);
