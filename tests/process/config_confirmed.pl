# Tests what VMs answer by a configuration that may not be the newest, started by
# tests/process/config_confirmed.sh:
#	perl config_confirmed.pl "CASE..." PLATFORM VM=ADDRESS=PID...
# The platform can turn away all VMs but the first. Prints one line per check, and
# the counts.
use strict;
use warnings;
use Time::HiRes qw(time sleep);

BEGIN { require "./tests/process/sessions_lib.pl"; }
our ($platform, $passed, $failed);

# The time within which a configuration has to be in force, in seconds.
my $CONFIG_S = 3;
# What is late ends by then.
my $END_S = 8;
# A stopped VM that is away for so long has missed all that the others told.
my $STOP_S = 5;
# The store comes back this long after the start of a drill, as a copy; the operator
# writes again so much later. VMs start in less.
my ($AWAY_MS, $REWRITE_MS) = (500, 8000);

my $cases;
($cases, $platform, my @vms) = @ARGV;
my @names = map { (split /=/)[0] } @vms;
my %at = map { (split /=/)[0, 1] } @vms;
my %pid = map { (split /=/)[0, 2] } @vms;
my ($first, @others) = @names;
my $key = 10;
$| = 1;

# VMs that this script has stopped continue when it ends.
END { kill "CONT", values %pid }

# Returns what a VM answers to START: "ready", or its error.
sub answer {
	my ($vm, $db, $k) = @_;
	my $c = start($db, $k, $at{$vm});
	return "no connection" if !$c;
	return $c->{ready} eq "I" ? "ready" : $c->{end};
}
sub new_key {
	my $name = "fresh-" . $$ . "-" . ++$key;
	control("do=add_key&key=$name");
	return $name;
}
# Checks that a condition holds on these VMs within so many seconds.
sub holds_within {
	my ($name, $seconds, $check, @on) = @_;
	my $since = time;
	my @not;
	do {
		@not = grep { !$check->($_) } @on;
		sleep 0.05 if @not;
	} while (@not && time - $since < $END_S);
	my $took = time - $since;
	ok($name, $took <= $seconds && !@not, sprintf("%.2f s, not: @not", $took));
}
sub in_force {
	my ($name, $k, @on) = @_;
	holds_within("$name: in force within $CONFIG_S s", $CONFIG_S,
	    sub { answer($_[0], "o-db", $k) eq "ready" }, @on);
}
sub stop { kill "STOP", map { $pid{$_} } @_ }
sub resume { kill "CONT", map { $pid{$_} } @_ }

# A refusal that the caller may repeat elsewhere.
sub is_retryable { return $_[0] =~ /^ERROR BUSY / }
sub refuses_softly {
	my ($name, $vm, $k) = @_;
	my $got = answer($vm, "o-db", $k);
	ok("$name: an unknown key is refused for now", is_retryable($got), $got);
	$got = answer($vm, "none-db", "key-1");
	ok("$name: an unknown database is refused for now", is_retryable($got), $got);
	$got = answer($vm, "o-db", "key-1");
	ok("$name: a known key is accepted", $got eq "ready", $got);
}

my %run = (
	# Two VMs hear only each other, and the platform does not answer them.
	cut_off => sub {
		my $name = "cut off";
		my $open = start("o-db", "key-1", $at{$others[0]});
		control("do=turn_away&n=2");
		stop($first);
		my $k = new_key();
		sleep $CONFIG_S + 1.5;
		refuses_softly($name, $others[0], $k);
		query($open, "SET a b");
		ok("$name: a session that has begun goes on", $open->{ready} eq "I");
		control("do=turn_away&n=0");
		resume($first);
		in_force("$name, then healed", $k, @names);
		holds_within("$name, then healed: a key that never was is refused for good", $CONFIG_S,
		    sub { answer($_[0], "o-db", "never") =~ /^ERROR NOAUTH/ },
		    @names);
		holds_within("$name, then healed: a database that never was is refused for good", $CONFIG_S,
		    sub { answer($_[0], "none-db", "key-1") =~ /^ERROR NODB/ },
		    @names);
	},

	# A VM that was stopped finds heartbeats of before, and hears no more of them.
	stood_still => sub {
		my $name = "stood still";
		my ($vm, @rest) = ($others[0], $first, $others[1]);
		stop($vm);
		sleep 1;
		stop(@rest);
		# The reply of a watch would tell the VM of the change.
		control("do=watches_deaf&n=1");
		my $k = new_key();
		control("do=watches_deaf&n=0");
		sleep $STOP_S;
		control("do=turn_away&n=2");
		resume($vm);
		sleep 0.3;
		refuses_softly($name, $vm, $k);
		control("do=turn_away&n=0");
		resume(@rest);
		in_force("$name, then healed", $k, @names);
	},

	# One VM is alone with the store; then the others hear it again. Then the
	# reverse: it was away, and the others have gone on.
	alone_with_store => sub {
		for my $away ([@others], [$first]) {
			my $name = "away: @$away";
			my %is_away = map { $_ => 1 } @$away;
			my @there = grep { !$is_away{$_} } @names;
			stop(@$away);
			sleep 2;
			my $k = new_key();
			in_force("$name, at the others", $k, @there);
			my $second = new_key();
			in_force("$name, at the others, again", $second, @there);
			sleep $STOP_S;
			resume(@$away);
			my $bad = 0;
			my $since = time;
			while (time - $since < $CONFIG_S) {
				$bad += grep { answer($_, "o-db", $second) ne "ready" } @there;
				sleep 0.05;
			}
			ok("$name: the others don't go back", $bad == 0, "$bad times");
			in_force("$name, then heard again", $second, @names);
		}
	},

	# The operator writes other contents under the version of before.
	same_version => sub {
		my $name = "the same version with other contents";
		my $old = new_key();
		in_force("$name, before", $old, @names);
		my $new = "fresh-$$-" . ++$key;
		control("do=exchange_key&old=$old&key=$new");
		in_force($name, $new, @names);
		holds_within("$name: what it lacks is refused within $CONFIG_S s", $CONFIG_S,
		    sub { answer($_[0], "o-db", $old) ne "ready" },
		    @names);
	},

	# All VMs are killed while the store is an older copy, and start with it.
	before_restart => sub {
		control("do=rate&n=1000") for 1 .. 40;
		control("do=withdraw&key=key-2");
		holds_within("a key is withdrawn", $CONFIG_S,
		    sub { answer($_[0], "o-db", "key-2") ne "ready" },
		    @names);
		control("do=restore&age=100000000&down=$AWAY_MS&rewrite=$REWRITE_MS");
		sleep $AWAY_MS / 1000 + 0.5;
	},
	after_restart => sub {
		my $name = "all start from an older copy";
		my $is_old = control("do=count") =~ /^to_write_again [1-9]/m;
		ok("$name: the operator has not written again", $is_old);
		sleep 0.05 while control("do=count") =~ /^to_write_again [1-9]/m;
		holds_within("$name: a withdrawn key is refused within $CONFIG_S s of the operator's write", $CONFIG_S,
		    sub { answer($_[0], "o-db", "key-2") =~ /^ERROR NOAUTH/ },
		    @names);
		in_force("$name, then a change", new_key(), @names);
	},
);
for my $name (split / /, $cases) {
	$run{$name}->();
}
print "$passed passed, $failed failed\n";
exit($failed ? 1 : 0);
