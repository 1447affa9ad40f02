# A small deployment for the scripts of the third review: the platform's store and
# its promotion call, a service of databases, callers, and the VMs under test, which
# are processes of their own. One event loop, the real clock, loopback addresses.
use strict;
use warnings;
use Errno qw(EAGAIN EWOULDBLOCK EINPROGRESS EINTR);
use IO::Socket::INET;
use POSIX ();
use Socket qw(IPPROTO_TCP TCP_NODELAY);
use Time::HiRes ();

$SIG{PIPE} = "IGNORE";

our $SERVICE = "quotedb";
our $PROMOTE_MS = 300;	   # from the answer to a promotion until it takes effect
our $OLD_LEADS_MS = 1000;  # an old primary that reaches the new one goes on so long
our $QUEUE_MAX = 40;	   # statements that wait for a slot of a database
# Called with what arrives, if the script sets them; a call to the store that it
# answers with true is dropped.
our ($on_statement, $on_call);
our (%dbs, @db_order, @vms, %kinds, @watches, @promotions, @commits);
our $revision = 1;
our $leader;		   # id of the database that leads the newest term
our ($record, $tmp);
my (%readers, %writers, @timers, $running);
my $start_at = Time::HiRes::time();

# --- event loop -----------------------------------------------------------------

sub now { return Time::HiRes::clock_gettime(Time::HiRes::CLOCK_MONOTONIC()) }
sub stamp { return sprintf("%8.3f", Time::HiRes::time() - $start_at) }
sub note { print $record stamp() . " " . join(" ", @_) . "\n" }

sub after {
	my ($ms, $fn) = @_;
	my $at = now() + $ms / 1000;
	my $i = @timers;
	$i-- while $i > 0 && $timers[$i - 1][0] > $at;
	splice @timers, $i, 0, [$at, $fn];
}

sub stop_loop { $running = 0 }

sub run_loop {
	$running = 1;
	while ($running) {
		my ($r, $w) = ("", "");
		for my $c (values %readers) { vec($r, fileno($c->{fh}), 1) = 1 if !$c->{held} || !$c->{held}->() }
		for my $c (values %writers) { vec($w, fileno($c->{fh}), 1) = 1 if !$c->{held} || !$c->{held}->() }
		my $wait = @timers ? $timers[0][0] - now() : 1;
		$wait = 0 if $wait < 0;
		$wait = 0.05 if $wait > 0.05;
		my $n = select($r, $w, undef, $wait);
		while (@timers && $timers[0][0] <= now()) {
			my $t = shift @timers;
			$t->[1]->();
			last if !$running;
		}
		next if $n <= 0;
		for my $c (values %readers) {
			next if $c->{closed} || !vec($r, fileno($c->{fh}), 1);
			$c->{on_readable}->($c);
		}
		for my $c (values %writers) {
			next if $c->{closed} || !vec($w, fileno($c->{fh}), 1);
			flush_out($c);
		}
	}
}

# --- connections ----------------------------------------------------------------

sub listen_on {
	my ($on_accept, $held) = @_;
	my $l = IO::Socket::INET->new(Listen => 256, LocalAddr => "127.0.0.1", LocalPort => 0,
	    ReuseAddr => 1) or die "listen: $!";
	$l->blocking(0);
	my $c = { fh => $l, held => $held };
	$c->{on_readable} = sub {
		while (my $s = $l->accept()) { $on_accept->($s) }
	};
	$readers{fileno($l)} = $c;
	return $l->sockport();
}

# Takes over a socket; on_data is called with the connection after each read, and
# on_close once.
sub conn_new {
	my ($fh, $on_data, $on_close, $held) = @_;
	$fh->blocking(0);
	setsockopt($fh, IPPROTO_TCP, TCP_NODELAY, pack("i", 1));
	my $c = { fh => $fh, in => "", out => "", on_data => $on_data, on_close => $on_close,
	    held => $held };
	$c->{on_readable} = sub {
		my $n = sysread($fh, $c->{in}, 65536, length($c->{in}));
		return if !defined $n && ($! == EAGAIN || $! == EINTR);
		if (!$n) { conn_close($c); return }
		$on_data->($c);
	};
	$readers{fileno($fh)} = $c;
	return $c;
}

sub conn_close {
	my ($c) = @_;
	return if $c->{closed};
	$c->{closed} = 1;
	delete $readers{fileno($c->{fh})};
	delete $writers{fileno($c->{fh})};
	close($c->{fh});
	$c->{on_close}->($c) if $c->{on_close};
}

sub conn_send {
	my ($c, $text) = @_;
	return if $c->{closed};
	$c->{out} .= $text;
	$writers{fileno($c->{fh})} = $c;
	flush_out($c) if !$c->{held} || !$c->{held}->();
}

sub flush_out {
	my ($c) = @_;
	return if $c->{closed};
	while (length $c->{out}) {
		my $n = syswrite($c->{fh}, $c->{out});
		if (!defined $n) {
			return if $! == EAGAIN || $! == EINTR;
			conn_close($c);
			return;
		}
		substr($c->{out}, 0, $n, "");
	}
	delete $writers{fileno($c->{fh})};
}

# --- the platform's store and its promotion call --------------------------------

sub http_reply {
	my ($c, $code, $body) = @_;
	conn_send($c, "HTTP/1.1 $code X\r\nContent-Type: application/json\r\nContent-Length: "
	    . length($body) . "\r\n\r\n$body");
}

sub object_text {
	my ($name, $o) = @_;
	return "{\"meta\":{\"name\":\"$name\",\"revision\":$o->{revision},\"created\":1,"
	    . "\"finalizers\":[],\"deleting\":false},\"spec\":$o->{spec},\"status\":null}";
}

sub put_object {
	my ($kind, $name, $spec) = @_;
	my $o = $kinds{$kind}{$name};
	return if $o && $o->{spec} eq $spec;
	$kinds{$kind}{$name} = { revision => ++$revision, spec => $spec };
	tell_watches($kind, $name, $kinds{$kind}{$name}, 0);
}

sub delete_object {
	my ($kind, $name) = @_;
	my $o = delete $kinds{$kind}{$name} or return;
	$o->{revision} = ++$revision;
	tell_watches($kind, $name, $o, 1);
}

sub tell_watches {
	my ($kind, $name, $o, $deleted) = @_;
	my @left;
	for my $w (@watches) {
		if ($w->{kind} ne $kind || $w->{c}{closed}) { push @left, $w; next }
		http_reply($w->{c}, 200, "{\"events\":[{\"deleted\":" . ($deleted ? "true" : "false")
		    . ",\"object\":" . object_text($name, $o) . "}],\"currentRev\":$revision}");
		$w->{done} = 1;
	}
	@watches = grep { !$_->{done} && !$_->{c}{closed} } @left;
}

# Each VM has a port of the store of its own, so that calls tell who sent them.
sub store_listen {
	my ($vm) = @_;
	return listen_on(sub { conn_new($_[0], \&http_data)->{vm} = $vm });
}

sub http_data {
	my ($c) = @_;
	while ($c->{in} =~ /\r\n\r\n/) {
		my $end = $+[0];
		my $head = substr($c->{in}, 0, $end);
		my ($len) = $head =~ /^Content-Length:\s*(\d+)/mi;
		$len //= 0;
		return if length($c->{in}) < $end + $len;
		my $body = substr($c->{in}, $end, $len);
		substr($c->{in}, 0, $end + $len, "");
		my ($method, $path) = $head =~ /^(\S+) (\S+)/;
		after(4, sub { http_request($c, $method, $path, $head, $body) if !$c->{closed} });
	}
}

sub http_request {
	my ($c, $method, $target, $head, $body) = @_;
	return if $on_call && $on_call->($c->{vm}, $method, $target);
	my ($path, $query) = split /\?/, $target, 2;
	my %q = map { /^([^=]*)=(.*)$/ ? ($1 => $2) : () } split /&/, $query // "";
	if ($path eq "/promote") { promote($c, $head, $body); return }
	if ($path !~ m{^/gypsumcleat/objects/([^/]+)(?:/([^/]+))?$}) { http_reply($c, 404, "{}"); return }
	my ($kind, $name) = ($1, $2);
	if ($method eq "GET" && defined $name) {
		my $o = $kinds{$kind}{$name};
		http_reply($c, $o ? 200 : 404, $o ? object_text($name, $o) : "{}");
	} elsif ($method eq "GET" && defined $q{watch}) {
		my @news = grep { $kinds{$kind}{$_}{revision} > $q{watch} } sort keys %{$kinds{$kind}};
		if (@news) {
			http_reply($c, 200, "{\"events\":[" . join(",", map { "{\"deleted\":false,\"object\":"
			    . object_text($_, $kinds{$kind}{$_}) . "}" } @news) . "],\"currentRev\":$revision}");
			return;
		}
		my $w = { c => $c, kind => $kind };
		push @watches, $w;
		after($q{waitMs} // 1000, sub {
			return if $w->{done} || $c->{closed};
			$w->{done} = 1;
			@watches = grep { $_ != $w } @watches;
			http_reply($c, 200, "{\"events\":[],\"currentRev\":$revision}");
		});
	} elsif ($method eq "GET") {
		my $from = $q{after} // "";
		my @names = grep { $_ gt $from } sort keys %{$kinds{$kind} // {}};
		http_reply($c, 200, "{\"items\":[" . join(",", map { object_text($_, $kinds{$kind}{$_}) } @names)
		    . "],\"more\":false,\"currentRev\":$revision}");
	} elsif ($method eq "POST" || $method eq "PUT") {
		my ($meta) = $body =~ /"meta":(\{[^{}]*\})/;
		my ($spec) = $body =~ /"spec":(\{.*\})\}\s*$/s;
		my ($rev) = ($meta // "") =~ /"revision":(\d+)/;
		($name) = ($meta // "") =~ /"name":"([^"]*)"/ if !defined $name;
		my $o = $kinds{$kind}{$name};
		if ($method eq "POST" ? $o : ($o && defined $rev && $rev != $o->{revision})) {
			http_reply($c, 409, object_text($name, $o));
		} elsif ($method eq "PUT" && !$o) {
			http_reply($c, 404, "{}");
		} else {
			put_object($kind, $name, $spec);
			http_reply($c, 200, object_text($name, $kinds{$kind}{$name}));
		}
	} else {
		http_reply($c, 404, "{}");
	}
}

sub promote {
	my ($c, $head, $body) = @_;
	my ($id) = $body =~ /"id":"([^"]*)"/;
	my ($holder) = $head =~ /^Gypsumcleat-Duty-Holder:\s*(\S+)/mi;
	my ($token) = $head =~ /^Gypsumcleat-Fencing-Token:\s*(\d+)/mi;
	my $db = $dbs{$id // ""};
	if (!$db || $db->{dark} || !$db->{up}) {
		note("promote $id by $holder token $token: 409");
		http_reply($c, 409, "{}");
		return;
	}
	push @promotions, { id => $id, holder => $holder, token => $token, at => now() };
	note("promote $id by $holder token $token: accepted");
	http_reply($c, 200, "{}");
	after($PROMOTE_MS, sub { promotion_effect($db) }) if $leader ne $id;
}

# The named database leads the next term with what it has received. Replicas that
# reach it follow it; a primary that reaches it goes on for a second.
sub promotion_effect {
	my ($db) = @_;
	return if $leader eq $db->{id} || $db->{dark} || !$db->{up};
	my $term = 0;
	for (values %dbs) { $term = $_->{term} if $_->{term} > $term }
	$db->{term} = $term + 1;
	$db->{primary} = 1;
	$db->{paused} = 0;
	$db->{applied} = @{$db->{log}};
	$leader = $db->{id};
	$db->{leads_since} = now();
	note("effect: $db->{id} leads term $db->{term} from position $db->{applied}");
	check_in($db);
	for my $o (values %dbs) { meet_leader($o) }
}

sub reaches { my ($a, $b) = @_; return !$a->{dark} && !$b->{dark} && !$a->{cut} && !$b->{cut} && $a->{up} && $b->{up} }

# Called when a database may have come into reach of the leader.
sub meet_leader {
	my ($o) = @_;
	my $l = $dbs{$leader};
	return if $o == $l || !reaches($o, $l) || $o->{term} >= $l->{term} && !$o->{primary};
	if ($o->{primary}) {
		return if $o->{demotes};
		$o->{demotes} = 1;
		note("$o->{id} reaches the new primary, and goes on for $OLD_LEADS_MS ms");
		after($OLD_LEADS_MS, sub {
			$o->{demotes} = 0;
			if ($o->{primary} && $leader ne $o->{id}) { follow($o) }
		});
		return;
	}
	follow($o);
}

sub follow {
	my ($o) = @_;
	note("$o->{id} follows $leader") if $o->{primary};
	$o->{primary} = 0;
	$o->{paused} = 0;
	$o->{term} = $dbs{$leader}{term};
	check_in($o);
	replicate($dbs{$leader});
}

# --- databases ------------------------------------------------------------------

sub db_add {
	my ($id, $zone, $primary) = @_;
	my $db = { id => $id, zone => $zone, primary => $primary, term => 1, paused => 0, log => [],
	    applied => 0, lag_ms => 8, work_ms => 10, slots => 5, busy => 0, queue => [], up => 1,
	    conns => {}, max_conns => 34, dark => 0, cut => 0, sequence => 1, state => "ready" };
	$dbs{$id} = $db;
	push @db_order, $id;
	$leader = $id if $primary;
	$db->{port} = listen_on(sub { db_accept($db, $_[0]) }, sub { $db->{dark} });
	check_in($db);
	return $db;
}

sub check_in {
	my ($db) = @_;
	return if $db->{dark} || !$db->{up};
	my $spec = "{\"service\":\"$SERVICE\",\"address\":\"127.0.0.1:$db->{port}\",\"zone\":\"$db->{zone}\","
	    . "\"version\":\"v1\",\"slots\":$db->{slots},\"state\":\"$db->{state}\",\"coldLeftMs\":0,"
	    . "\"dbRole\":\"" . ($db->{primary} ? "primary" : "replica") . "\",\"sequence\":$db->{sequence},"
	    . "\"born\":1700000000000}";
	return if ($db->{entry} // "") eq $spec;
	$db->{sequence}++;
	$spec =~ s/"sequence":\d+/"sequence":$db->{sequence}/;
	$db->{entry} = $spec;
	put_object("servers", $db->{id}, $spec);
}

sub db_accept {
	my ($db, $fh) = @_;
	my $c = conn_new($fh, \&db_data, sub { delete $db->{conns}{$_[0]} }, sub { $db->{dark} });
	@$c{qw(db state vars prepared writes queue)} = ($db, "I", {}, {}, [], []);
	$db->{conns}{$c} = $c;
}

sub db_data {
	my ($c) = @_;
	while (!$c->{closed} && $c->{in} =~ s/^(.*?)\r\n//s) {
		push @{$c->{queue}}, $1;
	}
	db_next($c);
}

# Executes the next line of a connection; one at a time.
sub db_next {
	my ($c) = @_;
	my $db = $c->{db};
	return if $c->{running} || $c->{closed} || !@{$c->{queue}};
	my $line = shift @{$c->{queue}};
	if ($line =~ /^START (\S+) (\S+)(?: (\S+))?$/) {
		if ($1 ne $SERVICE || defined $3 && $3 ne $db->{id}) { db_end($c, "ERROR WRONGNODE $db->{id}"); conn_close($c); return }
		if (keys %{$db->{conns}} > $db->{max_conns}) { conn_send($c, "ERROR TOOMANY $db->{id}\r\n"); conn_close($c); return }
		$c->{running} = 1;
		after(12, sub { $c->{running} = 0; db_ready($c); db_next($c) });
		return;
	}
	if ($line eq "TERMINATE") { conn_close($c); return }
	if ($line !~ /^QUERY (\S+) (.*)$/) { conn_close($c); return }
	my ($id, $text) = ($1, $2);
	my $after;
	$after = $1 if $text =~ s/^AFTER (\S+) //;
	my ($verb) = $text =~ /^(\S+)/;
	if ($verb =~ /^(READ|WRITE|EXECUTE|COMMIT)$/) {
		if ($db->{busy} >= $db->{slots}) {
			if (@{$db->{queue}} >= $QUEUE_MAX) { db_end($c, "ERROR BUSY $db->{id}"); db_next($c); return }
			$c->{running} = 1;
			push @{$db->{queue}}, [$c, $id, $text, $after];
			return;
		}
		db_work($db, $c, $id, $text, $after);
		return;
	}
	db_statement($c, $id, $text, $after);
	db_next($c);
}

sub db_work {
	my ($db, $c, $id, $text, $after) = @_;
	$db->{busy}++;
	$c->{running} = 1;
	after($db->{work_ms}, sub {
		$db->{busy}--;
		$c->{running} = 0;
		if (!$c->{closed}) { db_statement($c, $id, $text, $after); db_next($c) }
		while ($db->{busy} < $db->{slots} && @{$db->{queue}}) {
			my $n = shift @{$db->{queue}};
			$n->[0]{closed} ? next : db_work($db, @$n);
		}
	});
}

sub position { my ($db) = @_; return $db->{applied} ? "$db->{log}[$db->{applied} - 1]{term}.$db->{applied}" : "-" }
sub received { my ($db) = @_; my $n = @{$db->{log}}; return $n ? "$db->{log}[$n - 1]{term}.$n" : "$db->{term}.0" }

sub has_position {
	my ($db, $at) = @_;
	my ($term, $n) = split /\./, $at;
	return 1 if $n == 0;
	return $n <= $db->{applied} && $db->{log}[$n - 1]{term} == $term;
}

sub db_ready { my ($c) = @_; conn_send($c, "READY $c->{state} " . position($c->{db}) . "\r\n") }
sub db_end { my ($c, @lines) = @_; conn_send($c, join("", map { "$_\r\n" } @lines)); db_ready($c) if !$c->{closed} }

sub value {
	my ($db, $c, $item) = @_;
	for my $w (reverse @{$c->{writes}}) { return $w->{data} if $w->{item} eq $item }
	my $seen = $c->{state} eq "T" ? $c->{snapshot} : $db->{applied};
	for (my $i = $seen - 1; $i >= 0; $i--) { return $db->{log}[$i]{data} if $db->{log}[$i]{item} eq $item }
	return "none";
}

sub db_statement {
	my ($c, $id, $text, $after) = @_;
	my $db = $c->{db};
	$on_statement->($c, $id, $text, $after) if $on_statement;
	my ($verb, $rest) = split / /, $text, 2;
	$rest //= "";
	my $mac = $id eq "-" ? "-" : "mac.$db->{id}.$id";
	if (defined $after && !has_position($db, $after)) { db_end($c, "ERROR LAGGING $db->{id}"); return }
	if ($verb eq "EXECUTE") {
		my ($name, $args) = split / /, $rest, 2;
		my $p = $c->{prepared}{$name};
		if (!$p) { db_end($c, "ERROR NOSTMT $db->{id}"); return }
		($verb, $rest) = ($p->[0], $args);
	}
	if ($verb eq "BEGIN") {
		if (!$db->{primary} && $rest ne "READ") { db_end($c, "ERROR READONLY $db->{id}"); return }
		@$c{qw(state read_only snapshot writes)} = ("T", $rest eq "READ", $db->{applied}, []);
		db_end($c, "COMPLETE -");
	} elsif ($verb eq "ROLLBACK") {
		@$c{qw(state writes)} = ("I", []);
		db_end($c, "COMPLETE -");
	} elsif ($verb eq "COMMIT") {
		if ($c->{state} eq "E") { @$c{qw(state writes)} = ("I", []); db_end($c, "ERROR ABORTED $db->{id}"); return }
		if (!$db->{primary} && @{$c->{writes}}) { $c->{state} = "E"; db_end($c, "ERROR READONLY $db->{id}"); return }
		my $n = @{$c->{writes}};
		db_commit($db, $id, $c->{writes}) if $n;
		@$c{qw(state writes)} = ("I", []);
		db_end($c, "COMPLETE $mac");
	} elsif ($verb eq "READ") {
		if (!$db->{primary} && $c->{state} eq "T" && !$c->{read_only}) { $c->{state} = "E"; db_end($c, "ERROR READONLY $db->{id}"); return }
		my $v = value($db, $c, $rest);
		note("run $id READ $rest at $db->{id} (" . ($db->{primary} ? "primary" : "replica") . ", " . position($db) . "): $v") if $db->{tells_reads};
		db_end($c, "ROW $v", "COMPLETE $mac");
	} elsif ($verb eq "WRITE") {
		if (!$db->{primary} || $c->{state} eq "T" && $c->{read_only}) {
			$c->{state} = "E" if $c->{state} eq "T";
			db_end($c, "ERROR READONLY $db->{id}");
			return;
		}
		my ($item, $data) = split / /, $rest, 2;
		push @{$c->{writes}}, { item => $item, data => $data, id => $id };
		if ($c->{state} eq "I") { db_commit($db, $id, $c->{writes}); $c->{writes} = [] }
		db_end($c, "COMPLETE $mac");
	} elsif ($verb eq "SET") {
		my ($name, $v) = split / /, $rest, 2;
		$c->{vars}{$name} = $v;
		db_end($c, "COMPLETE -");
	} elsif ($verb eq "PREPARE") {
		my ($name, $mode) = split / /, $rest, 3;
		$c->{prepared}{$name} = [$mode];
		db_end($c, "COMPLETE -");
	} elsif ($verb eq "RESET") {
		@$c{qw(vars prepared)} = ({}, {});
		db_end($c, "COMPLETE -");
	} elsif ($verb =~ /^(STATUS|PAUSE|RESUME|STEPDOWN)$/) {
		my $newest = $db->{term};
		$db->{paused} = $rest if $verb eq "PAUSE" && !$db->{primary} && $rest > $newest;
		if ($verb eq "RESUME") { $db->{paused} = 0 }
		if ($verb eq "STEPDOWN" && $db->{primary} && $rest > $db->{term}) { $db->{primary} = 0; note("$db->{id} stepped down"); check_in($db) }
		note("$verb $rest at $db->{id}") if $verb ne "STATUS";
		db_end($c, "ROW " . ($db->{primary} ? "primary" : "replica") . " $db->{term} " . received($db)
		    . " $db->{paused} $db->{lag_ms} $db->{busy} " . scalar(keys %{$db->{conns}}), "COMPLETE -");
		replicate($dbs{$leader}) if $verb eq "RESUME";
	} else {
		db_end($c, "ERROR MALFORMED $db->{id}");
	}
}

# Commits writes in the database's log. A commit of a database that does not lead
# the newest term is noted with the time since the other one leads.
sub db_commit {
	my ($db, $id, $writes) = @_;
	my $n = 0;
	for my $w (@$writes) {
		push @{$db->{log}}, { term => $db->{term}, item => $w->{item}, data => $w->{data}, id => $w->{id}, commit => $id };
		$n = @{$db->{log}};
	}
	$db->{applied} = @{$db->{log}};
	my $old = $leader ne $db->{id};
	push @commits, { id => $id, db => $db->{id}, old => $old, at => now() };
	note("commit $id at $db->{id} as $db->{term}.$n" . ($old ? sprintf(" AFTER %s LEADS for %.0f ms", $leader, 1000 * (now() - $dbs{$leader}{leads_since})) : ""));
	replicate($db);
}

# Replicas that reach the primary and are not paused receive its log, and apply it
# after their lag.
sub replicate {
	my ($from) = @_;
	return if !$from->{primary};
	for my $id (@db_order) {
		my $to = $dbs{$id};
		next if $to == $from || $to->{primary} || !reaches($from, $to) || $to->{term} > $from->{term} || $to->{paused} > $from->{term} || $to->{deaf};
		$to->{term} = $from->{term};
		my $same = 0;
		$same++ while $same < @{$to->{log}} && $same < @{$from->{log}} && $to->{log}[$same] == $from->{log}[$same];
		splice @{$to->{log}}, $same;
		$to->{applied} = $same if $to->{applied} > $same;
		push @{$to->{log}}, @{$from->{log}}[$same .. $#{$from->{log}}];
		my $upto = @{$to->{log}};
		after($to->{lag_ms}, sub { $to->{applied} = $upto if $upto > $to->{applied} && $upto <= @{$to->{log}} });
	}
}

# The database goes dark: nothing reaches it or comes from it, or it is back.
sub db_dark {
	my ($db, $dark) = @_;
	$db->{dark} = $dark;
	note("$db->{id} " . ($dark ? "goes dark" : "is back"));
	return if $dark;
	check_in($db);
	meet_leader($db);
	replicate($dbs{$leader});
}

# --- configuration --------------------------------------------------------------

sub write_config {
	my (%o) = @_;
	my @routes = (["p-db", "primary"], ["b-db", "bounded_staleness"], ["o-db", "read_your_writes"]);
	my $timeout = $o{timeout_ms} // 1000;
	my $idle = $o{idle_ms} // 5000;
	put_object("config", "main", "{\"version\":" . ($o{version} // 1) . ",\"routes\":[" . join(",", map {
	    "{\"name\":\"$_->[0]\",\"host\":\"$_->[0]\",\"kind\":\"$_->[1]\",\"timeoutMs\":$timeout,"
	    . "\"targetLatencyMs\":200,\"priority\":1,\"service\":\"$SERVICE\",\"maxStalenessMs\":1500,\"public\":false}" } @routes)
	    . "],\"services\":[{\"name\":\"$SERVICE\",\"maxConns\":34,\"syncReplicas\":0}],\"limits\":{\"txIdleMs\":$idle},"
	    . "\"tenants\":[{\"name\":\"tenant\",\"apiKeys\":[\"key-1\"],\"ratePerS\":" . ($o{rate} // 500) . ",\"burst\":" . ($o{rate} // 500) . "}]}");
}

# --- VMs ------------------------------------------------------------------------

sub vm_settings {
	my ($vm) = @_;
	my $store_port = $vm->{store_port} //= store_listen($vm);
	open(my $f, ">", "$tmp/$vm->{name}.json") or die "$tmp: $!";
	print $f "{ \"form\": \"sessions\", \"vm\": \"$vm->{name}\", \"domain\": \"$vm->{zone}\", \"region\": \"r\",
  \"caller_listen\": \"127.0.0.1:0\", \"ready_listen\": \"127.0.0.1:0\", \"peer_listen\": \"127.0.0.1:0\",
  \"metrics_listen\": \"127.0.0.1:0\", \"platform\": \"127.0.0.1:$store_port\", \"promotion\": \"127.0.0.1:$store_port\",
  \"grace_s\": 6, \"domains\": {\"z-1\": \"r\", \"z-2\": \"r\", \"z-3\": \"r\"}, \"cpu_share\": 0.25,
  \"platform_timeout_ms\": 1500, \"timeline_events\": 1024 }\n";
	close($f);
}

sub vm_start {
	my ($name, $zone) = @_;
	my $vm = { name => $name, zone => $zone, out => "$tmp/$name.out" };
	push @vms, $vm;
	vm_settings($vm);
	vm_exec($vm);
	return $vm;
}

sub vm_exec {
	my ($vm) = @_;
	unlink $vm->{out};
	my $pid = fork() // die "fork: $!";
	if ($pid == 0) {
		POSIX::close($_) for 3 .. 255;
		open(STDOUT, ">", $vm->{out}) or POSIX::_exit(2);
		open(STDERR, ">&", \*STDOUT) or POSIX::_exit(2);
		exec("target/gypsumcleat", "serve", "-f", "$tmp/$vm->{name}.json") or POSIX::_exit(2);
	}
	$vm->{pid} = $pid;
}

# Reads the addresses that the VM prints; true once it answers its ready probe.
sub vm_addresses {
	my ($vm) = @_;
	open(my $f, "<", $vm->{out}) or return 0;
	while (my $l = <$f>) {
		$vm->{$2} = $1 if $l =~ /^ready (\S+) (callers|probes)$/;
	}
	close($f);
	return $vm->{callers} && $vm->{probes};
}

sub when_ready {
	my ($fn, $tries) = @_;
	$tries //= 200;
	if (!$tries) { note("the VMs don't get ready"); finish(2) }
	my $left = grep { !vm_addresses($_) } @vms;
	if ($left) { after(100, sub { when_ready($fn, $tries - 1) }); return }
	my $n = @vms;
	my $ok = 0;
	for my $vm (@vms) {
		my $fh = IO::Socket::INET->new(PeerAddr => $vm->{probes}, Timeout => 1);
		if (!$fh) { $n--; next }
		my $c;
		$c = conn_new($fh, sub {
			return if $c->{in} !~ /\r\n\r\n/ || $c->{seen}++;
			$ok++ if $c->{in} =~ m{^HTTP/1\.\d 200};
			conn_close($c);
			return if --$n;
			$ok == @vms ? $fn->() : after(200, sub { when_ready($fn, $tries - 1) });
		});
		conn_send($c, "GET /gypsumcleat/ready HTTP/1.1\r\nHost: x\r\n\r\n");
	}
}

# --- callers --------------------------------------------------------------------

my $ids = 0;

# Opens a session at a VM; fn is called with it once START is answered.
sub session {
	my ($vm, $route, $fn) = @_;
	my $fh = IO::Socket::INET->new(PeerAddr => $vm->{callers}, Timeout => 1);
	my $s = { vm => $vm->{name}, route => $route };
	if (!$fh) { $fn->($s, "CLOSED"); return $s }
	$s->{c} = conn_new($fh, sub {
		my ($c) = @_;
		while ($c->{in} =~ s/^(.*?)\r\n//s) {
			my $l = $1;
			if ($l =~ /^ROW (.*)/) { push @{$s->{rows}}, $1 }
			elsif ($l =~ /^(COMPLETE|ERROR)/) { $s->{end} = $l }
			elsif ($l =~ /^READY (\S) (\S+)/) {
				my $f = delete $s->{fn};
				$s->{state} = $1;
				$f->($s, $s->{end} // "READY", $s->{rows}[0]) if $f;
			}
		}
	}, sub { my $f = delete $s->{fn}; $f->($s, "CLOSED") if $f; });
	$s->{fn} = $fn;
	conn_send($s->{c}, "START $route key-1\r\n");
	return $s;
}

# Sends a statement; fn gets the session, the end of the answer and the first row.
sub query {
	my ($s, $text, $fn) = @_;
	my $id = sprintf("%s%06x", "q", ++$ids);
	@$s{qw(rows end id text)} = ([], undef, $id, $text);
	if ($s->{c}{closed}) { $fn->($s, "CLOSED"); return }
	$s->{fn} = sub {
		my ($x, $end, $row) = @_;
		note("answer $id $s->{vm} $s->{route} \"$text\": $end" . (defined $row ? " row $row" : "")) if !$s->{quiet};
		$fn->($x, $end, $row);
	};
	note("sent   $id $s->{vm} $s->{route} \"$text\"") if !$s->{quiet};
	conn_send($s->{c}, "QUERY $id $text\r\n");
	return $id;
}

# --- begin and end --------------------------------------------------------------

sub world_begin {
	my ($folder) = @_;
	open($record, ">", "$folder/record.txt") or die "record.txt: $!";
	$record->autoflush(1);
	$tmp = ($ENV{TMPDIR} // "/tmp") . "/review-3.$$";
	mkdir $tmp or die "$tmp: $!";
	$SIG{TERM} = $SIG{INT} = sub { finish(2) };
	if (!-x "target/gypsumcleat") { note("target/gypsumcleat is not built"); finish(2) }
}

# Ends all processes that were started, by their ids.
sub finish {
	my ($code) = @_;
	for my $vm (@vms) { kill "CONT", $vm->{pid}; kill "KILL", $vm->{pid}; waitpid($vm->{pid}, 0) }
	if ($ENV{KEEP_LOGS}) { print "logs: $tmp\n" }
	else { unlink glob("$tmp/*"); rmdir $tmp }
	note("end: exit $code");
	exit $code;
}

1;
