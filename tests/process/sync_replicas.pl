# The primary of a service with syncReplicas 1 is replaced while only one replica, the
# holder, has received the newest writes. Started by tests/process/sync_replicas.sh:
#	perl sync_replicas.pl PLATFORM VM-ADDRESS...
# Prints one line per check, and the counts.
use strict;
use warnings;
use Time::HiRes qw(time sleep);

BEGIN { require "./tests/process/sessions_lib.pl"; }
our ($platform, $default_vm, $id_prefix, $passed, $failed);

($platform, my @vms) = @ARGV;
$default_vm = $vms[0];
$id_prefix = "sync";
$SIG{PIPE} = "IGNORE";

# The users' bound: requests are served this long after the last fault.
my $RECOVERY_S = 15;
my $WRITES = 5;

my $value = 0;

# Writes the next value on a new session, at each VM in turn.
sub put {
	my $c = start("o-db", "key-1", $vms[++$value % @vms]);
	query($c, "WRITE value $value") if $c && $c->{ready} eq "I";
	return $c && done($c) ? $value : 0;
}

# Writes until one is acknowledged; returns it, or 0.
sub put_until {
	my $end = time + $_[0];
	my $v = 0;
	while (!$v && time < $end) {
		$v = put();
		sleep 0.1 if !$v;
	}
	return $v;
}

# Reads the value at the primary until a read succeeds; returns -1 if none does.
sub get_until {
	my $end = time + $_[0];
	do {
		for my $vm (@vms) {
			my $c = start("p-db", "key-1", $vm);
			my $v = $c && $c->{ready} eq "I" ? value($c, "value") : "";
			return $v if $c && done($c);
		}
		sleep 0.1;
	} while (time < $end);
	return -1;
}

sub wait_for_primary {
	my ($wanted, $s) = @_;
	my $end = time + $s;
	sleep 0.1 while counter("primary") ne $wanted && time < $end;
	return counter("primary") eq $wanted;
}
sub stop_db { control("do=stop&db=$_[0]") }
# The database starts again with its log, as a replica, and receives what it lacks.
sub start_db { control("do=start&db=$_[0]"); control("do=cut_off&n=0&db=$_[0]") }
sub hears { control("do=cut_off&n=0&db=$_[0]") }

# Each case gets the primary, the holder and the replica that hears nothing, and ends
# with a group that can be served. Where a case returns a text, the checks of it have
# failed.
my @cases = (
	["the holder departs", sub {
		my ($primary, $holder, $deaf) = @_;
		control("do=depart&db=$holder");
		sleep 0.5;
		stop_db($primary);
		return "the holder does not lead" if !wait_for_primary($holder, $RECOVERY_S);
		sleep 3;
		return "the deaf one leads" if counter("primary") eq $deaf;
		hears($deaf);
		return "";
	}],
	["the holder departs and fails once it leads", sub {
		my ($primary, $holder, $deaf) = @_;
		control("do=depart&db=$holder");
		sleep 0.5;
		stop_db($primary);
		return "the holder does not lead" if !wait_for_primary($holder, $RECOVERY_S);
		sleep 0.3;
		stop_db($holder);
		sleep 5;
		return "the deaf one leads" if counter("primary") eq $deaf;
		start_db($primary);
		hears($deaf);
		return "";
	}],
	["a primary departs, the holder too", sub {
		my ($primary, $holder, $deaf) = @_;
		control("do=depart&db=$_") for $primary, $holder;
		sleep 5;
		return "the deaf one leads" if counter("primary") eq $deaf;
		stop_db($primary);
		sleep 3;
		return "the deaf one leads after all" if counter("primary") eq $deaf;
		hears($deaf);
		return "";
	}],
	["the holder is silent for a while", sub {
		my ($primary, $holder, $deaf) = @_;
		control("do=mute&n=1&db=$holder");
		stop_db($primary);
		sleep 5;
		return "the deaf one leads" if counter("primary") eq $deaf;
		control("do=mute&n=0&db=$holder");
		return "the holder does not lead" if !wait_for_primary($holder, $RECOVERY_S);
		hears($deaf);
		return "";
	}],
	["the holder is silent and its entry lapses", sub {
		my ($primary, $holder, $deaf) = @_;
		control("do=mute&n=1&db=$holder");
		control("do=lapse&n=1&db=$holder");
		sleep 1;
		stop_db($primary);
		sleep 8;
		return "the deaf one leads" if counter("primary") eq $deaf;
		control("do=mute&n=0&db=$holder");
		control("do=lapse&n=0&db=$holder");
		return "the holder does not lead" if !wait_for_primary($holder, $RECOVERY_S);
		hears($deaf);
		return "";
	}],
	["the primary is lost, then the holder that leads", sub {
		my ($primary, $holder, $deaf) = @_;
		stop_db($primary);
		return "the holder does not lead" if !wait_for_primary($holder, $RECOVERY_S);
		stop_db($holder);
		sleep 5;
		return "the deaf one leads" if counter("primary") eq $deaf;
		start_db($holder);
		hears($deaf);
		return "";
	}],
	# A replica that has left for good keeps no failover from its end.
	["the holder was lost, the other one followed since", sub {
		my ($primary, $holder, $deaf) = @_;
		hears($deaf);
		stop_db($holder);
		return "no write is served" if !put_until($RECOVERY_S);
		sleep 4;
		stop_db($primary);
		return "the other one does not lead" if !wait_for_primary($deaf, $RECOVERY_S);
		start_db($primary);
		return "";
	}],
	["the primary is lost for good while all replicas follow", sub {
		my ($primary, $holder, $deaf) = @_;
		hears($deaf);
		return "no write is served" if !put_until($RECOVERY_S);
		stop_db($primary);
		return "none leads" if !wait_for_primary($holder, 5) && counter("primary") ne $deaf;
		return "";
	}],
);

# All databases run, are listed and receive, and a write is served.
sub restore {
	for my $db ("db-1", "db-2", "db-3") {
		control("do=mute&n=0&db=$db");
		control("do=lapse&n=0&db=$db");
		control("do=stay&db=$db");
		my $runs = control("do=count") =~ /^running_$db 1$/m;
		$runs ? hears($db) : start_db($db);
	}
	return put_until($RECOVERY_S) && put_until($RECOVERY_S);
}

control("do=sync&n=1");
for (@cases) {
	my ($name, $run) = @$_;
	ok("$name: writes are served before", restore());
	# So that what happened to the group before is known to be over.
	sleep 3;
	put_until($RECOVERY_S);
	my $primary = counter("primary");
	my ($holder, $deaf) = grep { $_ ne $primary } "db-1", "db-2", "db-3";
	control("do=cut_off&n=1&db=$deaf");
	my $acknowledged = 0;
	for (1 .. $WRITES) {
		my $v = put();
		$acknowledged = $v if $v;
	}
	ok("$name: writes are acknowledged", $acknowledged == $value);
	my $seen = $run->($primary, $holder, $deaf);
	ok("$name: databases", $seen eq "", $seen);
	my $v = get_until($RECOVERY_S);
	ok("$name: no acknowledged write is lost", $v >= $acknowledged,
	    "read $v, acknowledged $acknowledged");
	ok("$name: writes are served again", put_until($RECOVERY_S));
}

# The primary and the holder are lost for good: only the operator ends the hold.
{
	my $name = "all that hold the writes are lost";
	ok("$name: writes are served before", restore());
	sleep 3;
	my $primary = counter("primary");
	my ($holder, $deaf) = grep { $_ ne $primary } "db-1", "db-2", "db-3";
	control("do=cut_off&n=1&db=$deaf");
	ok("$name: a write is acknowledged", put());
	stop_db($_) for $holder, $primary;
	ok("$name: none leads", !wait_for_primary($deaf, 8));
	hears($deaf);
	control("do=sync&n=0");
	ok("$name: the rest is served without synchronous replicas", put_until($RECOVERY_S));
}
print "$passed passed, $failed failed\n";
exit($failed ? 1 : 0);
