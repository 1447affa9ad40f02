# Callers' sessions against two VMs, as tests/process/sessions.sh starts them:
#	perl sessions.pl WORLD VM1 VM2 READY2 PID2
# Prints a line a check, and the counts.
use strict;
use warnings;
use IO::Socket::INET;

my ($world, $vm1, $vm2, $ready2, $pid2) = @ARGV;
my ($passed, $failed) = (0, 0);
my $ids = 0;

sub ok {
	my ($name, $good, $seen) = @_;
	$good ? $passed++ : $failed++;
	print $good ? "ok $name\n" : "not ok $name\n";
	print "# $seen\n" if !$good && defined $seen;
}

# One request over HTTP: the status and the body.
sub http {
	my ($at, $path) = @_;
	my $s = IO::Socket::INET->new(PeerAddr => $at, Timeout => 5) or return (0, "");
	print $s "GET $path HTTP/1.0\r\n\r\n";
	my $all = do { local $/; <$s> } // "";
	my ($status) = $all =~ m{^HTTP/1\.\d (\d+)};
	my ($body) = $all =~ /\r\n\r\n(.*)/s;
	return ($status // 0, $body // "");
}
sub control { return (http($world, "/control?$_[0]"))[1] }
sub counted { my ($n) = control("do=count") =~ /^$_[0] (\S+)/m; return $n // "" }

# A session: start NAME KEY VM; the reply in {last}.
sub start {
	my ($db, $key, $vm) = @_;
	my $s = IO::Socket::INET->new(PeerAddr => $vm // $vm1, Timeout => 5)
	    or return undef;
	$s->autoflush(1);
	my $self = { s => $s };
	print $s "START $db $key\r\n";
	answer($self);
	return $self;
}

# Reads up to READY or the end: {rows}, {end}, {ready}.
sub answer {
	my ($c) = @_;
	my $s = $c->{s};
	$c->{rows} = [];
	$c->{end} = $c->{ready} = "";
	local $SIG{ALRM} = sub { die "no answer\n" };
	eval {
		alarm 10;
		while (my $line = <$s>) {
			$line =~ s/\r?\n$//;
			if ($line =~ /^ROW (.*)/) { push @{$c->{rows}}, $1 }
			elsif ($line =~ /^(COMPLETE|ERROR)/) { $c->{end} = $line }
			elsif ($line =~ /^READY (\S)/) { $c->{ready} = $1; last }
		}
		alarm 0;
	};
	$c->{end} = "CLOSED" if !$c->{end} && !$c->{ready};
	return $c;
}

sub say_to {
	my ($c, $text) = @_;
	my $id = sprintf("id%06d", ++$ids);
	my $s = $c->{s};
	print $s "QUERY $id $text\r\n";
	answer($c);
	$c->{id} = $id;
	return $c->{end};
}
sub value { my ($c, $item) = @_; say_to($c, "READ $item"); return $c->{rows}[0] // $c->{end} }
sub done { my ($c) = @_; return $c->{end} =~ /^COMPLETE mac\.db-\d\.$c->{id}$/ }

# Writes until one succeeds, with a new session each time; true if one does.
sub write_again {
	my ($item, $data, $tries) = @_;
	for (1 .. $tries) {
		my $c = start("o-db", "key-1");
		say_to($c, "WRITE $item $data");
		return $c if done($c);
		select(undef, undef, undef, 0.1);
	}
	return undef;
}

my $c;
for my $case (["nowhere", "key-1", "NODB"], ["p-db", "nobody", "NOAUTH"]) {
	$c = start($case->[0], $case->[1]);
	ok("start of $case->[0] with $case->[1]: $case->[2]",
	    $c->{end} =~ /^ERROR $case->[2] /, $c->{end});
}

for my $db ("p-db", "o-db", "b-db") {
	$c = start($db, "key-1");
	say_to($c, "WRITE item-$db data of $db");
	ok("$db: write", done($c), $c->{end});
	next if $db eq "b-db";
	ok("$db: own write is read", value($c, "item-$db") eq "data of $db",
	    $c->{rows}[0]);
	ok("$db: signature of the database", done($c), $c->{end});
}

my @many = map { start("o-db", "key-1") } 1 .. 12;
say_to($many[$_], "SET zone z$_") for 0 .. 10;
my $mixed = 0;
for my $round (1 .. 5) {
	for my $n (0 .. 11) {
		my $want = $n == 11 ? "unset" : "z$n";
		$mixed++ if value($many[$n], "\$zone") ne $want;
	}
}
ok("values of 12 sessions are never mixed", $mixed == 0, "$mixed mixed");
for my $n (0 .. 11) {
	say_to($many[$n], "PREPARE s1 READ shape" . $n % 3);
	say_to($many[$n], "PREPARE s2 WRITE shape" . $n % 3);
}
$mixed = 0;
for my $n (0 .. 11) {
	say_to($many[$n], "EXECUTE s1 some");
	$mixed++ if ($many[$n]{rows}[0] // "") !~ / shape@{[$n % 3]}$/;
}
ok("prepared names of callers do not collide", $mixed == 0, "$mixed mixed");
say_to($many[0], "EXECUTE s2 prepared by-name");
ok("write by a prepared name", done($many[0]), $many[0]{end});
say_to($many[0], "CLOSE s1");
ok("a closed name is unknown", say_to($many[0], "EXECUTE s1 x") =~ /^ERROR NOSTMT/,
    $many[0]{end});

my ($a, $b) = (start("o-db", "key-1"), start("p-db", "key-1", $vm2));
say_to($a, "BEGIN");
ok("begin", $a->{ready} eq "T", $a->{end});
say_to($a, "WRITE tx one");
ok("own write inside", value($a, "tx") eq "one", $a->{rows}[0]);
ok("not seen outside", value($b, "tx") eq "none", $b->{rows}[0]);
say_to($a, "COMMIT");
ok("commit", done($a) && $a->{ready} eq "I", $a->{end});
ok("seen outside after it", value($b, "tx") eq "one", $b->{rows}[0]);
say_to($a, "BEGIN");
say_to($a, "WRITE tx two");
say_to($a, "ROLLBACK");
ok("rolled back", value($b, "tx") eq "one", $b->{rows}[0]);
say_to($a, "BEGIN READ");
ok("a reading transaction refuses writes", say_to($a, "WRITE tx x") =~ /^ERROR/,
    $a->{end});
ok("and has failed", $a->{ready} eq "E", $a->{ready});
ok("nothing but its end is taken", say_to($a, "READ tx") =~ /^ERROR MALFORMED/);
say_to($a, "ROLLBACK");
ok("after its end the session goes on", value($a, "tx") eq "one");
for my $bad ("AFTER 1.1 READ tx", "STATUS", "STEPDOWN 9", "RESET", "READ", "DROP x") {
	ok("not for callers: $bad", say_to($a, $bad) =~ /^ERROR MALFORMED/, $a->{end});
}
ok("commit without a transaction", say_to($a, "COMMIT") =~ /^ERROR MALFORMED/);
ok("the session is unharmed", value($a, "tx") eq "one", $a->{end});

# An open transaction whose caller leaves is rolled back.
my $gone = start("o-db", "key-1");
say_to($gone, "BEGIN");
say_to($gone, "WRITE tx left");
close $gone->{s};
select(undef, undef, undef, 0.2);
ok("a caller that left committed nothing", value($b, "tx") eq "one", $b->{rows}[0]);

my $idle = start("o-db", "key-1");
say_to($idle, "BEGIN");
say_to($idle, "WRITE tx idle");
select(undef, undef, undef, 1.4);
ok("an idle transaction has ended", say_to($idle, "COMMIT") =~ /^ERROR ABORTED/,
    $idle->{end});

# Byte by byte, and many at once.
$c = start("o-db", "key-1");
for my $byte (split //, "QUERY slow1 READ tx\r\n") {
	syswrite($c->{s}, $byte);
	select(undef, undef, undef, 0.001);
}
answer($c);
ok("byte by byte", $c->{rows}[0] eq "one");
my $burst = join "", map { "QUERY m$_ READ tx\r\n" } 1 .. 50;
print { $c->{s} } $burst;
my $in_order = 0;
for my $n (1 .. 50) {
	answer($c);
	$in_order++ if $c->{end} =~ /\.m$n$/;
}
ok("50 messages at once, answered in order", $in_order == 50, $in_order);
my $long = start("o-db", "key-1");
print { $long->{s} } "QUERY long READ " . "x" x 1200000;
answer($long);
ok("a message beyond 1 MiB", $long->{end} =~ /^ERROR TOOBIG/, $long->{end});
ok("others are unharmed", value($c, "tx") eq "one");

# Lost answers.
control("do=lose&db=primary&n=1");
$c = start("p-db", "key-1");
say_to($c, "WRITE lost once");
ok("a write whose answer is lost is in doubt", $c->{end} =~ /^ERROR INDOUBT/, $c->{end});
control("do=lose&db=primary&n=1");
ok("a read whose answer is lost is read again", value($c, "tx") eq "one", $c->{end});
control("do=busy&db=primary&n=2");
say_to($c, "WRITE busy later");
ok("a write refused for want of a slot is tried again", done($c), $c->{end});
say_to($c, "BEGIN");
say_to($c, "WRITE tx three");
control("do=reset&db=primary");
say_to($c, "WRITE tx four");
ok("a transaction that lost its connection", $c->{end} =~ /^ERROR ABORTED/, $c->{end});
say_to($c, "ROLLBACK");
ok("kept nothing", value($b, "tx") eq "one", $b->{rows}[0]);

# Replicas that lag: own work is seen, and nothing too old.
control("do=lag&db=db-$_&n=3000") for 2, 3;
$c = start("o-db", "key-1");
my $stale = 0;
for my $n (1 .. 20) {
	say_to($c, "WRITE lagging $n");
	$stale++ if value($c, "lagging") ne $n;
}
ok("own work is seen although replicas lag", $stale == 0, "$stale stale");
control("do=lag&db=db-$_&n=5") for 2, 3;

# The platform away.
control("do=store_down&n=1");
$c = start("o-db", "key-1");
say_to($c, "WRITE away yes");
ok("serves while the platform is away", done($c), $c->{end});
control("do=store_down&n=0");

# Keys taken away, also when the watch's history is forgotten.
my $open = start("o-db", "key-2");
ok("a key that is good", value($open, "tx") eq "one");
control("do=forget");
control("do=withdraw&key=key-2");
my $left = 50;
$left-- while $left > 0 && value($open, "tx") eq "one"
    && (select(undef, undef, undef, 0.1) // 1) < 2;
ok("stops on an open session", $open->{end} =~ /^ERROR NOAUTH/, $open->{end});

# The rate.
control("do=rate&n=5");
select(undef, undef, undef, 2.5);
my ($in, $over, $hint) = (0, 0, 0);
$c = start("o-db", "key-1");
for (1 .. 100) {
	say_to($c, "READ tx");
	done($c) ? $in++ : $c->{end} =~ /^ERROR BUSY/ ? $over++ : 0;
	$hint++ if $c->{end} =~ /retry after \d+ ms/;
}
ok("a team over its rate is refused", $over >= 60 && $in + $over == 100, "$in in, $over over");
ok("and told when to come back", $hint == $over, $hint);
control("do=rate&n=1000");
select(undef, undef, undef, 2.5);

# A primary that stops: another leads, and confirmed work is there.
$c = write_again("before", "stop", 50);
ok("a write before the primary stops", defined $c);
select(undef, undef, undef, 0.3);
my $was = counted("primary");
control("do=stop&db=primary");
$c = write_again("after", "stop", 120);
ok("a write after it", defined $c);
ok("another one leads", counted("primary") ne $was, counted("primary"));
ok("what was confirmed is there", defined $c && value($c, "before") eq "stop",
    $c && $c->{rows}[0]);
control("do=start&db=$was");
select(undef, undef, undef, 3);

# A primary that departs: no write is lost or in doubt meanwhile.
my ($bad, $good) = (0, 0);
$was = counted("primary");
$c = start("o-db", "key-1");
for my $n (1 .. 300) {
	control("do=depart&db=primary") if $n == 20;
	say_to($c, "WRITE planned $n");
	done($c) ? $good++ : $bad++;
	last if $n > 60 && counted("primary") ne $was;
	select(undef, undef, undef, 0.02);
}
ok("a departing primary is replaced", counted("primary") ne $was, counted("primary"));
ok("and no write fails", $bad == 0, "$bad of " . ($good + $bad));
ok("nothing ran twice", counted("twice") eq "0", counted("twice"));

# A graceful stop of a VM.
my $sits = start("o-db", "key-1", $vm2);
ok("the VM is ready", (http($ready2, "/"))[0] == 200);
kill "TERM", $pid2;
select(undef, undef, undef, 0.5);
ok("not ready once told to stop", (http($ready2, "/"))[0] == 503);
my $late = start("o-db", "key-1", $vm2);
ok("still takes sessions while callers are sent to it", value($late, "tx") eq "one", $late->{end});
ok("and keeps them", value($late, "tx") eq "one", $late->{end});
ok("still serves open sessions", value($sits, "tx") eq "one", $sits->{end});
answer($sits);
ok("then lets idle ones go", $sits->{end} eq "CLOSED", $sits->{end});
print "$passed passed, $failed failed\n";
exit($failed ? 1 : 0);
