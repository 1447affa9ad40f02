# Tests callers' sessions against two VMs, started as in tests/process/sessions.sh:
#	perl sessions.pl PLATFORM VM1 VM2 READY2 PID2
# Prints one line per check, and the counts.
use strict;
use warnings;

BEGIN { require "./tests/process/sessions_lib.pl"; }
our ($platform, $default_vm, $passed, $failed);
my ($vm1, $vm2, $ready2, $pid2);
($platform, $vm1, $vm2, $ready2, $pid2) = @ARGV;
$default_vm = $vm1;

my $c;
for my $case (["nowhere", "key-1", "NODB"], ["p-db", "nobody", "NOAUTH"]) {
	$c = start($case->[0], $case->[1]);
	ok("START $case->[0] with key $case->[1]: $case->[2]",
	    $c->{end} =~ /^ERROR $case->[2] /, $c->{end});
}

for my $db ("p-db", "o-db", "b-db") {
	$c = start($db, "key-1");
	query($c, "WRITE item-$db data of $db");
	ok("$db: write", done($c), $c->{end});
	next if $db eq "b-db";
	ok("$db: the session reads its own write", value($c, "item-$db") eq "data of $db",
	    $c->{rows}[0]);
	ok("$db: signature of the database", done($c), $c->{end});
}

my @many = map { start("o-db", "key-1") } 1 .. 12;
query($many[$_], "SET zone z$_") for 0 .. 10;
my $mixed = 0;
for my $round (1 .. 5) {
	for my $n (0 .. 11) {
		my $want = $n == 11 ? "unset" : "z$n";
		$mixed++ if value($many[$n], "\$zone") ne $want;
	}
}
ok("variables of 12 sessions are kept apart", $mixed == 0, "$mixed mixed");
for my $n (0 .. 11) {
	query($many[$n], "PREPARE s1 READ shape" . $n % 3);
	query($many[$n], "PREPARE s2 WRITE shape" . $n % 3);
}
$mixed = 0;
for my $n (0 .. 11) {
	query($many[$n], "EXECUTE s1 some");
	$mixed++ if ($many[$n]{rows}[0] // "") !~ / shape@{[$n % 3]}$/;
}
ok("prepared statements of sessions do not collide", $mixed == 0, "$mixed mixed");
query($many[0], "EXECUTE s2 prepared by-name");
ok("write by a prepared name", done($many[0]), $many[0]{end});
query($many[0], "CLOSE s1");
ok("a closed statement is unknown", query($many[0], "EXECUTE s1 x") =~ /^ERROR NOSTMT/,
    $many[0]{end});

my ($a, $b) = (start("o-db", "key-1"), start("p-db", "key-1", $vm2));
query($a, "BEGIN");
ok("begin", $a->{ready} eq "T", $a->{end});
query($a, "WRITE tx one");
ok("own write is visible in the transaction", value($a, "tx") eq "one", $a->{rows}[0]);
ok("not visible outside it", value($b, "tx") eq "none", $b->{rows}[0]);
query($a, "COMMIT");
ok("commit", done($a) && $a->{ready} eq "I", $a->{end});
ok("visible outside after the commit", value($b, "tx") eq "one", $b->{rows}[0]);
query($a, "BEGIN");
query($a, "WRITE tx two");
query($a, "ROLLBACK");
ok("rolled back", value($b, "tx") eq "one", $b->{rows}[0]);
query($a, "BEGIN READ");
ok("a read-only transaction refuses writes", query($a, "WRITE tx x") =~ /^ERROR/,
    $a->{end});
ok("and has failed then", $a->{ready} eq "E", $a->{ready});
ok("a failed transaction accepts only its end", query($a, "READ tx") =~ /^ERROR MALFORMED/);
query($a, "ROLLBACK");
ok("after its end the session continues", value($a, "tx") eq "one");
for my $bad ("AFTER 1.1 READ tx", "STATUS", "STEPDOWN 9", "RESET", "READ", "DROP x") {
	ok("refused from callers: $bad", query($a, $bad) =~ /^ERROR MALFORMED/, $a->{end});
}
ok("commit without a transaction", query($a, "COMMIT") =~ /^ERROR MALFORMED/);
ok("the session still works", value($a, "tx") eq "one", $a->{end});

# An open transaction is rolled back when its caller disconnects.
my $gone = start("o-db", "key-1");
query($gone, "BEGIN");
query($gone, "WRITE tx left");
close $gone->{s};
select(undef, undef, undef, 0.2);
ok("a disconnected caller committed nothing", value($b, "tx") eq "one", $b->{rows}[0]);

my $idle = start("o-db", "key-1");
query($idle, "BEGIN");
query($idle, "WRITE tx idle");
select(undef, undef, undef, 1.4);
ok("an idle transaction is aborted", query($idle, "COMMIT") =~ /^ERROR ABORTED/,
    $idle->{end});

# Messages that arrive byte by byte, and many at once.
$c = start("o-db", "key-1");
for my $byte (split //, "QUERY slow1 READ tx\r\n") {
	syswrite($c->{s}, $byte);
	select(undef, undef, undef, 0.001);
}
read_reply($c);
ok("a message byte by byte", $c->{rows}[0] eq "one");
my $burst = join "", map { "QUERY m$_ READ tx\r\n" } 1 .. 50;
print { $c->{s} } $burst;
my $in_order = 0;
for my $n (1 .. 50) {
	read_reply($c);
	$in_order++ if $c->{end} =~ /\.m$n$/;
}
ok("50 messages at once are answered in order", $in_order == 50, $in_order);
my $long = start("o-db", "key-1");
print { $long->{s} } "QUERY long READ " . "x" x 1200000;
read_reply($long);
ok("a message longer than 1 MiB", $long->{end} =~ /^ERROR TOOBIG/, $long->{end});
ok("other sessions still work", value($c, "tx") eq "one");

# Lost replies.
control("do=lose_replies&db=primary&n=1");
$c = start("p-db", "key-1");
query($c, "WRITE lost once");
ok("a write whose reply is lost has an unknown outcome", $c->{end} =~ /^ERROR INDOUBT/, $c->{end});
control("do=lose_replies&db=primary&n=1");
ok("a read whose reply is lost is tried again", value($c, "tx") eq "one", $c->{end});
control("do=busy&db=primary&n=2");
query($c, "WRITE busy later");
ok("a write refused for lack of a slot is tried again", done($c), $c->{end});
query($c, "BEGIN");
query($c, "WRITE tx three");
control("do=reset&db=primary");
query($c, "WRITE tx four");
ok("a transaction that lost its connection is aborted", $c->{end} =~ /^ERROR ABORTED/, $c->{end});
query($c, "ROLLBACK");
ok("and committed nothing", value($b, "tx") eq "one", $b->{rows}[0]);

# Lagging replicas: a session still reads its own writes.
control("do=lag&db=db-$_&n=3000") for 2, 3;
$c = start("o-db", "key-1");
my $stale = 0;
for my $n (1 .. 20) {
	query($c, "WRITE lagging $n");
	$stale++ if value($c, "lagging") ne $n;
}
ok("own writes are visible although replicas lag", $stale == 0, "$stale stale");
control("do=lag&db=db-$_&n=5") for 2, 3;

# The platform is unreachable.
control("do=store_down&n=1");
$c = start("o-db", "key-1");
query($c, "WRITE away yes");
ok("serves while the platform is unreachable", done($c), $c->{end});
control("do=store_down&n=0");

# Withdrawn keys, also when the history of the watch is gone.
my $open = start("o-db", "key-2");
ok("a valid key", value($open, "tx") eq "one");
# Guards against a withdrawn key that goes on being accepted in a transaction that was
# open then: each case is a statement after the withdrawal, and its item.
my @withdrawn = map { [$_, start("o-db", "key-2", $vm2)] } "READ tx", "WRITE tx-key more", "COMMIT";
for (@withdrawn) {
	query($_->[1], "BEGIN");
	query($_->[1], "WRITE tx-key data");
	ok("a transaction under that key", $_->[1]{ready} eq "T" && done($_->[1]), $_->[1]{end});
}
control("do=drop_history");
control("do=withdraw&key=key-2");
my $left = 50;
$left-- while $left > 0 && value($open, "tx") eq "one"
    && (select(undef, undef, undef, 0.1) // 1) < 2;
my $probe = start("o-db", "key-2", $vm2);
for (1 .. 50) {
	last if !$probe || value($probe, "tx") ne "one";
	$_->[1]{ready} eq "T" && query($_->[1], "READ tx") for @withdrawn;
	select(undef, undef, undef, 0.1);
}
ok("stops working on an open session once withdrawn", $open->{end} =~ /^ERROR NOAUTH/, $open->{end});
for (@withdrawn) {
	my ($text, $c) = @$_;
	# One that learned of the withdrawal while it was kept from idling has its answer.
	query($c, $text) if $c->{ready} eq "T";
	ok("$text in a transaction under a withdrawn key: rolled back",
	    $c->{end} =~ /^ERROR ABORTED key withdrawn/, $c->{end});
	query($c, "ROLLBACK") if $c->{ready} eq "E";
	query($c, "READ tx");
	ok("$text: the next operation is refused", $c->{end} =~ /^ERROR NOAUTH/, $c->{end});
}
ok("nothing of these transactions is kept", index(control("do=writes"), "log tx-key ") < 0);

# Rate limits.
control("do=rate&n=5");
select(undef, undef, undef, 2.5);
my ($in, $over, $hint) = (0, 0, 0);
$c = start("o-db", "key-1");
for (1 .. 100) {
	query($c, "READ tx");
	done($c) ? $in++ : $c->{end} =~ /^ERROR BUSY/ ? $over++ : 0;
	$hint++ if $c->{end} =~ /retry after \d+ ms/;
}
ok("a team over its rate is refused", $over >= 60 && $in + $over == 100, "$in in, $over over");
ok("and told when to retry", $hint == $over, $hint);
control("do=rate&n=1000");
select(undef, undef, undef, 2.5);

# A statement of a transaction waits for one of five slots when its connection is
# lost: it gets one answer, and is not executed later. Tested at both VMs, one of
# which owns the connections to the primary.
my $leader;
for my $vm ($vm1, $vm2) {
	my @busy = map { start("p-db", "key-1", $vm) } 1 .. 5;
	for my $b (@busy) {
		query($b, "BEGIN");
		value($b, "tx");
	}
	$c = start("p-db", "key-1", $vm);
	query($c, "BEGIN");
	query($c, "WRITE tx five");
	$leader = counter("primary");
	control("do=mute_open&db=$leader");
	for my $n (0 .. $#busy) {
		my $s = $busy[$n]{s};
		print $s "QUERY busy$n READ tx\r\n";
	}
	select(undef, undef, undef, 0.1);
	my $waiting = $c->{s};
	print $waiting "QUERY waits READ tx\r\n";
	select(undef, undef, undef, 0.1);
	control("do=mute&n=0&db=$leader");
	read_reply($c);
	ok("a waiting transaction that lost its connection is aborted",
	    $c->{end} =~ /^ERROR ABORTED/, $c->{end});
	query($c, "ROLLBACK");
	ok("and rolled back", $c->{end} =~ /^COMPLETE -/, $c->{end});
	my $other = 0;
	for (1 .. 5) {
		value($c, "tx");
		$other++ unless done($c);
	}
	ok("it gets no second answer", $other == 0, "$other of 5: $c->{end}");
	select(undef, undef, undef, 1);
}

# A database that no longer answers: a read goes elsewhere within its timeout.
$c = start("b-db", "key-1");
value($c, "tx") for 1 .. 10;
$leader = counter("primary");
my ($muted) = $c->{end} =~ /mac\.(db-\d)/;
control("do=mute_open&db=$muted");
value($c, "tx");
ok("a read is served although its database is silent", done($c), $c->{end});
ok("by another one", $c->{end} !~ /mac\.$muted\./, $c->{end});
ok("before a failover would end", counter("primary") eq $leader, counter("primary"));
control("do=mute&n=0&db=$muted");
select(undef, undef, undef, 4);

# A primary stops: another is promoted, and acknowledged writes are kept.
$c = write_until_done("before", "stop", 50);
ok("a write before the primary stops", defined $c);
select(undef, undef, undef, 0.3);
my $was = counter("primary");
control("do=stop&db=primary");
$c = write_until_done("after", "stop", 120);
ok("a write after the failover", defined $c);
ok("another database is the primary", counter("primary") ne $was, counter("primary"));
ok("the acknowledged write is kept", defined $c && value($c, "before") eq "stop",
    $c && $c->{rows}[0]);
control("do=start&db=$was");
select(undef, undef, undef, 3);

# A primary departs: no write fails or has an unknown outcome meanwhile.
my ($bad, $good) = (0, 0);
$was = counter("primary");
$c = start("o-db", "key-1");
for my $n (1 .. 300) {
	control("do=depart&db=primary") if $n == 20;
	query($c, "WRITE planned $n");
	done($c) ? $good++ : $bad++;
	last if $n > 60 && counter("primary") ne $was;
	select(undef, undef, undef, 0.02);
}
ok("a departing primary is replaced", counter("primary") ne $was, counter("primary"));
ok("and no write fails meanwhile", $bad == 0, "$bad of " . ($good + $bad));
ok("no write ran twice", counter("twice") eq "0", counter("twice"));

# A graceful stop of a VM.
my $idle_session = start("o-db", "key-1", $vm2);
ok("the VM is ready", (http($ready2, "/"))[0] == 200);
kill "TERM", $pid2;
select(undef, undef, undef, 0.5);
ok("not ready once told to stop", (http($ready2, "/"))[0] == 503);
my $late = start("o-db", "key-1", $vm2);
ok("still accepts sessions during the notice", value($late, "tx") eq "one", $late->{end});
ok("and keeps them open", value($late, "tx") eq "one", $late->{end});
ok("still serves open sessions", value($idle_session, "tx") eq "one", $idle_session->{end});
read_reply($idle_session);
ok("then closes idle ones", $idle_session->{end} eq "CLOSED", $idle_session->{end});
print "$passed passed, $failed failed\n";
exit($failed ? 1 : 0);
