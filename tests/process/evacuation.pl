# Tests how soon VMs learn of evacuations of failure domains and of their ends,
# started by tests/process/evacuation.sh:
#	perl evacuation.pl "CASE..." PLATFORM DIRECTORY VM=ADDRESS...
# The directory has a file VM.out with the log of each VM. All domains are in service
# before and after each case. Prints one line per check, and the counts.
use strict;
use warnings;
use Time::HiRes qw(time sleep);

BEGIN { require "./tests/process/sessions_lib.pl"; }
our ($platform, $passed, $failed);

# A quarter of evacuate_ms, in seconds: while watches hear, all VMs know by then.
my $WATCHED_S = 1.25;
# The same while watches hear nothing, or the store turns most VMs away.
my $LISTED_S = 3;
# What is late ends by then, so that the next change is judged alone.
my $END_S = 15;
# Time for a fleet in which only some VMs read to find those that are answered:
# three rounds of calls that time out.
my $SETTLE_S = 5;
# A change comes so long after the one before that watches are held again.
my $PAUSE_S = 0.3;

my ($cases, $dir);
($cases, $platform, $dir, my @vms) = @ARGV;
my @names = map { (split /=/)[0] } @vms;
$| = 1;

# Returns how often each VM has logged the event for a domain.
sub logged {
	my ($event, $zone) = @_;
	my %n;
	for my $vm (@names) {
		open my $f, "<", "$dir/$vm.out" or die "$dir/$vm.out: $!";
		$n{$vm} = grep { / $event .*domain=$zone / } <$f>;
	}
	return %n;
}

# Evacuates a domain ("evacuate") or withdraws that ("return"). Returns the seconds
# until all VMs have learned it.
sub change {
	my ($what, $zone) = @_;
	my $event = $what eq "evacuate" ? "evacuation_started" : "evacuation_ended";
	my %before = logged($event, $zone);
	control("do=$what&zone=$zone");
	my $since = time;
	while (time - $since < $END_S) {
		my %now = logged($event, $zone);
		last if !grep { $now{$_} == $before{$_} } @names;
		sleep 0.03;
	}
	return time - $since;
}

# Checks that changes are learned in time; "before" and "after" are called around
# each.
sub learned {
	my ($name, $bound, $changes, $before, $after) = @_;
	my @took;
	for my $c (@$changes) {
		sleep $PAUSE_S;
		$before->() if $before;
		push @took, change(@$c);
		$after->() if $after;
	}
	ok("$name: learned within $bound s", !(grep { $_ > $bound } @took),
	    join(" ", map { sprintf "%.2f", $_ } @took));
	print "# $name: ", join(" ", map { sprintf "%.2f", $_ } @took), " s\n";
}
sub both { return [["evacuate", $_[0]], ["return", $_[0]]] }
sub watches_hear { control("do=watches_deaf&n=" . ($_[0] ? 0 : 1)) }

# Waits for a counter of the platform.
sub await {
	my ($check) = @_;
	my $since = time;
	my %n;
	do {
		%n = control("do=count") =~ /^(\S+) (\S*)$/mg;
		sleep 0.03;
	} until ($check->(\%n) || time - $since > $END_S);
	return $check->(\%n);
}

# Restores the store from its first copy. It is written again later than the copy is
# read, and well before entries that a list lacks are given up.
sub restore {
	my $restored = counter("restored");
	# So many revisions that those after the return are lower.
	control("do=rate&n=1000") for 1 .. 40;
	my $before = counter("revision");
	control("do=restore&age=$_[0]&down=500&rewrite=1500");
	ok("$_[1]: the store is restored", await(sub { $_[0]->{restored} > $restored }));
	return $before;
}

my %run = (
	# Guards against calls of deployments that have no evacuations.
	unset => sub {
		control("do=evacuate&zone=z-1");
		sleep $WATCHED_S;
		my %started = logged("evacuation_started", "z-1");
		ok("without the setting: no call for evacuations",
		    counter("evacuation_calls") eq "0", counter("evacuation_calls"));
		ok("without the setting: no evacuation is learned",
		    !(grep { $started{$_} } @names));
		control("do=return&zone=z-1");
	},
	watched => sub {
		learned("watches hear", $WATCHED_S, [
			@{both("z-3")}, ["evacuate", "z-1"], ["evacuate", "z-2"],
			["return", "z-1"], ["return", "z-2"],
		]);
	},
	deaf => sub {
		learned("watches hear nothing", $LISTED_S, both("z-2"),
		    sub { watches_hear(0) }, sub { watches_hear(1) });
	},
	# The VMs take the platform for answering until the first call has timed out.
	silent => sub {
		learned("most VMs are not answered", $LISTED_S, both("z-1"),
		    sub { control("do=turn_away&n=2"); watches_hear(0) },
		    sub { watches_hear(1) });
		control("do=turn_away&n=0");
	},
	settled_silent => sub {
		control("do=turn_away&n=2");
		sleep $SETTLE_S;
		learned("most VMs are not answered for a while", $LISTED_S, both("z-3"),
		    sub { watches_hear(0) }, sub { watches_hear(1) });
		control("do=turn_away&n=0");
	},
	# Guards against an evacuation that ends as a restored store lacks it.
	restored => sub {
		my $name = "restored, the copy lacks the evacuation";
		my $took = change("evacuate", "z-1");
		# Watches held while they heard nothing may still be silent.
		ok("$name: learned before", $took <= $LISTED_S, $took);
		my %ended = logged("evacuation_ended", "z-1");
		my $before = restore(100000000, $name);
		ok("$name: the copy lacks it", counter("evacuations") eq "0");
		ok("$name: it is written again", await(sub { !$_[0]->{to_write_again} }));
		sleep $LISTED_S;
		my %now = logged("evacuation_ended", "z-1");
		ok("$name: no VM believes that it ended",
		    !(grep { $now{$_} != $ended{$_} } @names));
		ok("$name: revisions fell", counter("revision") < $before);
		learned("$name, then withdrawn", $LISTED_S, [["return", "z-1"]]);
	},
	# Guards against a withdrawn evacuation that stays after the copy had it.
	copy_has_it => sub {
		my $name = "restored, the copy has a withdrawn evacuation";
		change("evacuate", "z-3");
		sleep $PAUSE_S;
		my $at = time;
		change("return", "z-3");
		my %ended = logged("evacuation_ended", "z-3");
		my %started = logged("evacuation_started", "z-3");
		restore(int((time - $at) * 1000) + 100, $name);
		ok("$name: it is withdrawn again", await(sub { !$_[0]->{to_write_again} }));
		my $since = time;
		my @not;
		do {
			my %e = logged("evacuation_ended", "z-3");
			my %s = logged("evacuation_started", "z-3");
			@not = grep { $e{$_} - $ended{$_} != $s{$_} - $started{$_} } @names;
			sleep 0.03;
		} while (@not && time - $since < $END_S);
		ok("$name: no VM believes in it in the end", !@not, "@not");
		printf "# $name: ended %.2f s after its deletion\n", time - $since;
	},
);
for my $name (split / /, $cases) {
	$run{$name}->();
}
print "$passed passed, $failed failed\n";
exit($failed ? 1 : 0);
