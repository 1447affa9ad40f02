#!/usr/bin/perl
# Stand-in of the platform (object store, promotion call) and of the databases, in one
# process with one event loop, on loopback addresses. Uses modules of perl-base only.
#
#   world.pl RECORD SERVICE...      three databases per service, the first is primary
#
# Prints "ready ADDRESS", the address of the store, of the promotion call and of the
# control calls (GET or POST /control?do=...), by which a case drives it:
#   config (body)             the operator writes config/main
#   databases                 one line each: id service address role state
#   crash db=ID down_ms=N how=empty|log    the process ends; starts again after N ms
#   deaf db=ID on=0|1         receives nothing from its primary meanwhile
#   lag db=ID ms=N            applies what it receives so much later
#   drain db=ID               announces its departure
#   lose db=ID n=N            runs N statements and loses their answers (closes)
#   hold_promote ms=N         the next promotion call is carried out N ms late
#   stall db=ID ms=N          goes dark: handles nothing for N ms, then goes on
#   counters                  what happened so far
#   cut on=0|1                VMs of different groups lose sight of each other, and those of
#                             the second group lose the store; see RELAY
#
# With RELAY="v1,v2 v3,v4" in the environment VMs reach each other through relays in this
# program, as through an address translation: the address in a VM's entry is that of its
# relay. "ready" then tells a second address of the store, for the VMs of the second group.
use strict;
use warnings;
use IO::Socket::INET;
use IO::Select;
use Socket qw(IPPROTO_TCP TCP_NODELAY SOL_SOCKET SO_REUSEADDR SO_LINGER);
use Time::HiRes qw(clock_gettime CLOCK_MONOTONIC);
use Errno qw(EAGAIN EWOULDBLOCK EINTR);

$SIG{PIPE} = 'IGNORE';
my ($record, @services) = @ARGV;
open my $rec, '>>', $record or die "$record: $!\n";
$rec->autoflush(1);
sub now { return clock_gettime(CLOCK_MONOTONIC) }
sub note { printf $rec "%.4f %s\n", now(), join ' ', @_ }

# Timers and connections.
my @timers;
sub after { my ($s, $fn) = @_; push @timers, [now() + $s, $fn]; @timers = sort { $a->[0] <=> $b->[0] } @timers }
my (%conn, %listener);	# by file number
my ($rd, $wr) = (IO::Select->new, IO::Select->new);

sub listen_at {
	my ($port) = @_;
	my $s = IO::Socket::INET->new(LocalAddr => '127.0.0.1', LocalPort => $port,
	    Listen => 256, ReuseAddr => 1, Proto => 'tcp') or die "listen: $!\n";
	$s->blocking(0);
	return $s;
}
sub serve { my ($s, $open) = @_; $listener{fileno $s} = $open; $rd->add($s) }
sub unserve { my ($s) = @_; delete $listener{fileno $s}; $rd->remove($s); close $s }
sub put { my ($c, $text) = @_; return if $c->{gone}; $c->{out} .= $text; flush_out($c) }
sub flush_out {
	my ($c) = @_;
	while (length $c->{out}) {
		my $n = syswrite $c->{s}, $c->{out};
		if (!defined $n) {
			return $wr->add($c->{s}) if $! == EAGAIN || $! == EWOULDBLOCK || $! == EINTR;
			return hang_up($c);
		}
		substr($c->{out}, 0, $n) = '';
	}
	$wr->remove($c->{s});
	hang_up($c) if $c->{close_after};
}
sub hang_up {
	my ($c) = @_;
	return if $c->{gone};
	$c->{gone} = 1;
	$rd->remove($c->{s});
	$wr->remove($c->{s});
	delete $conn{fileno $c->{s}};
	close $c->{s};
	$c->{on_close}->($c) if $c->{on_close};
}

# Relays between VMs.
my ($cut, %group, %real, %virtual, %udp) = (0);
{
	my $n = 0;
	for my $names (split ' ', $ENV{RELAY} // '') { $n++; $group{$_} = $n for split /,/, $names }
}
sub is_cut { my ($x, $y) = @_; return $cut && ($group{$x} // 0) != ($group{$y} // 0) }
# Opens the relay of a VM and returns its port.
sub relay_port {
	my ($vm, $port) = @_;
	$real{$vm} = $port;
	return $virtual{$vm}{port} if $virtual{$vm};
	my $tcp = listen_at(0);
	my $u = IO::Socket::INET->new(LocalAddr => '127.0.0.1', LocalPort => $tcp->sockport, Proto => 'udp') or die "udp: $!\n";
	$u->blocking(0);
	$virtual{$vm} = { port => $tcp->sockport, udp => $u };
	$udp{fileno $u} = $vm;
	$rd->add($u);
	serve($tcp, sub { return { s => $_[0], in => '', out => '', to => $vm, on_input => \&link_input } });
	return $tcp->sockport;
}
# Passes on the datagrams that arrived for a VM.
sub datagrams {
	my ($vm) = @_;
	while (defined(my $from = recv $virtual{$vm}{udp}, my $data, 65536, 0)) {
		my ($port) = Socket::sockaddr_in($from);
		my ($x) = grep { $real{$_} == $port } keys %real;
		next if !defined $x || is_cut($x, $vm);
		send $virtual{$x}{udp}, $data, 0, Socket::sockaddr_in($real{$vm}, Socket::inet_aton('127.0.0.1'));
	}
}
# A link between VMs. Its first message tells who opened it.
sub link_input {
	my ($c) = @_;
	if (!$c->{peer}) {
		return if length $c->{in} < 4 || length $c->{in} < 4 + unpack 'N', $c->{in};
		my ($x) = grep { index(substr($c->{in}, 4, unpack 'N', $c->{in}), $_) >= 0 } sort keys %real;
		return hang_up($c) if !defined $x;
		$c->{from} = $x;
		return if is_cut($x, $c->{to});
		my $s = IO::Socket::INET->new(PeerAddr => "127.0.0.1:$real{$c->{to}}") or return hang_up($c);
		$s->blocking(0);
		setsockopt $s, IPPROTO_TCP, TCP_NODELAY, 1;
		my $p = { s => $s, in => '', out => '', from => $x, to => $c->{to}, peer => $c, on_input => \&link_input };
		$c->{peer} = $p;
		$_->{on_close} = sub { my ($me) = @_; hang_up($me->{peer}) if !is_cut($me->{from}, $me->{to}) } for $c, $p;
		$conn{fileno $s} = $p;
		$rd->add($s);
	}
	if (is_cut($c->{from}, $c->{to})) { $c->{in} = ''; return }
	my $data = $c->{in};
	$c->{in} = '';
	put($c->{peer}, $data);
}

# The object store.
my $rev = 100;
my (%objects, @history, @watches);
my $era = 1;
sub object_text {
	my ($name, $o) = @_;
	return sprintf '{"meta":{"name":"%s","revision":%d,"created":1,"finalizers":[],"deleting":false},"spec":%s,"status":null}',
	    $name, $o->{rev}, $o->{spec};
}
sub changed {
	my ($kind, $name, $deleted) = @_;
	$rev++;
	my $o = $objects{$kind}{$name} // { spec => '{}' };
	$o->{rev} = $rev;
	push @history, [$rev, $kind, sprintf '{"deleted":%s,"object":%s}', $deleted ? 'true' : 'false', object_text($name, $o)];
	my @left;
	for my $w (@watches) {
		if ($w->{kind} eq $kind) { answer_watch($w) } else { push @left, $w }
	}
	@watches = @left;
}
sub answer_watch {
	my ($w) = @_;
	my @e = map { $_->[2] } grep { $_->[0] > $w->{from} && $_->[1] eq $w->{kind} } @history;
	$w->{done} = 1;
	reply($w->{c}, 200, '{"events":[' . join(',', @e) . "],\"currentRev\":$rev}");
}
sub write_object { my ($kind, $name, $spec) = @_; $objects{$kind}{$name}{spec} = $spec; changed($kind, $name, 0) }

my %reason = (200 => 'OK', 404 => 'Not Found', 409 => 'Conflict', 410 => 'Gone', 503 => 'Unavailable');
sub reply {
	my ($c, $code, $body) = @_;
	return if $c->{gone};
	put($c, "HTTP/1.1 $code $reason{$code}\r\nContent-Type: application/json\r\nStore-Era: $era\r\nContent-Length: " .
	    length($body) . "\r\n\r\n$body");
	$c->{busy} = 0;
	http_input($c);
}
sub http_input {
	my ($c) = @_;
	return if $cut && $c->{second};
	return if $c->{gone} || $c->{busy} || $c->{in} !~ /\r\n\r\n/;
	my $head = $`;
	my ($len) = $head =~ /^Content-Length:\s*(\d+)/mi;
	$len //= 0;
	my $at = length($head) + 4;
	return if length($c->{in}) < $at + $len;
	my $body = substr $c->{in}, $at, $len;
	substr($c->{in}, 0, $at + $len) = '';
	my ($method, $path, $query) = $head =~ m{^(\S+) ([^ ?]+)(?:\?(\S*))?};
	my %q = map { /^([^=]*)=(.*)$/ ? ($1, $2) : ($_, 1) } split /&/, $query // '';
	s/%([0-9A-Fa-f]{2})/chr hex $1/ge for values %q;
	$c->{busy} = 1;
	if ($path eq '/control') { control($c, $body, %q) }
	elsif ($path eq '/promote') { promote_call($c, $head, $body) }
	elsif ($path =~ m{^/gypsumcleat/objects/([^/]+)(?:/(.+))?$}) { store_call($c, $method, $1, $2, $body, %q) }
	else { reply($c, 404, '{}') }
}
sub store_call {
	my ($c, $method, $kind, $name, $body, %q) = @_;
	if ($method eq 'GET' && defined $name) {
		my $o = $objects{$kind}{$name};
		return $o ? reply($c, 200, object_text($name, $o)) : reply($c, 404, '{}');
	}
	if ($method eq 'GET' && defined $q{watch}) {
		return reply($c, 410, "{\"currentRev\":$rev}") if $q{watch} > $rev;
		my $w = { c => $c, kind => $kind, from => $q{watch} };
		return answer_watch($w) if grep { $_->[0] > $q{watch} && $_->[1] eq $kind } @history;
		push @watches, $w;
		after(($q{waitMs} // 1000) / 1000, sub {
			return if $w->{done};
			@watches = grep { $_ != $w } @watches;
			$w->{done} = 1;
			reply($c, 200, "{\"events\":[],\"currentRev\":$rev}");
		});
		return;
	}
	if ($method eq 'GET') {
		my @names = grep { !defined $q{after} || $_ gt $q{after} } sort keys %{$objects{$kind} // {}};
		return reply($c, 200, '{"items":[' . join(',', map { object_text($_, $objects{$kind}{$_}) } @names) .
		    "],\"more\":false,\"currentRev\":$rev}");
	}
	my ($meta, $spec) = $body =~ /^\{"meta":(\{[^}]*\}),"spec":(.*)\}$/s or return reply($c, 404, '{}');
	if ($kind eq 'proxy-vms' && $ENV{RELAY}) {
		my ($vm) = $name // $meta =~ /"name":"([^"]*)"/;
		$spec =~ s/("peer":"127\.0\.0\.1:)(\d+)/$1 . relay_port($vm, $2)/e;
	}
	my ($in_name) = $meta =~ /"name":"([^"]*)"/;
	my ($in_rev) = $meta =~ /"revision":(\d+)/;
	$name //= $in_name;
	my $o = $objects{$kind}{$name};
	if ($method eq 'POST' ? $o : !$o || (defined $in_rev && $in_rev != $o->{rev})) {
		return $o ? reply($c, 409, object_text($name, $o)) : reply($c, 404, '{}');
	}
	write_object($kind, $name, $spec);
	reply($c, 200, object_text($name, $objects{$kind}{$name}));
}

# Databases.
my (%db, @db);
my ($work_s, $handshake_s, $promote_s, $slots) = (0.010, 0.004, 0.3, 5);
my $lag_s = 0.008;
my $n_promoted = 0;
my $sync = 0;	# syncReplicas
my (%highest_token, @promotions);
sub register {
	my ($d) = @_;
	return if !$d->{running};
	$d->{sequence}++;
	write_object('servers', $d->{id}, sprintf
	    '{"service":"%s","address":"127.0.0.1:%d","zone":"%s","version":"v1","slots":%d,"state":"%s","coldLeftMs":0,"dbRole":"%s","sequence":%d,"born":%d}',
	    $d->{service}, $d->{port}, $d->{zone}, $slots, $d->{draining} ? 'draining' : 'ready', $d->{primary} ? 'primary' : 'replica',
	    $d->{sequence}, $d->{born});
}
sub start_db {
	my ($d) = @_;
	$d->{running} = 1;
	$d->{born} = int(Time::HiRes::time() * 1000);
	$d->{sequence} = 0;
	$d->{s} = listen_at($d->{port} // 0);
	$d->{port} = $d->{s}->sockport;
	serve($d->{s}, sub { accept_db($d, $_[0]) });
	note("start db=$d->{id} port=$d->{port} role=" . ($d->{primary} ? 'primary' : 'replica') . ' log=' . end_of($d));
	register($d);
}
sub crash {
	my ($d, $down, $how) = @_;
	return if !$d->{running};
	note("crash db=$d->{id} role=" . ($d->{primary} ? 'primary' : 'replica') . " term=$d->{term} log=" . end_of($d) . " down_s=$down how=$how");
	$d->{running} = 0;
	$d->{life}++;
	unserve($d->{s});
	hang_up($_) for values %{$d->{conns}};
	$d->{conns} = {};
	$d->{busy} = 0;
	$d->{held} = 0;
	$d->{stalled_until} = 0;
	$d->{waiting} = [];
	my $life = $d->{life};
	after(3.6, sub {
		return if $d->{running} || $d->{life} != $life || !$objects{servers}{$d->{id}};
		delete $objects{servers}{$d->{id}};
		changed('servers', $d->{id}, 1);
	});
	after($down, sub {
		return if $d->{life} != $life;
		if ($how eq 'empty') { @$d{qw(log primary term applied)} = ([], 0, 0, 0) }
		elsif (leader($d->{service}) && leader($d->{service}) != $d) { $d->{primary} = 0 }
		start_db($d);
	});
}
# Goes dark: what arrives waits, what runs stands still; connections stay open.
sub stall {
	my ($d, $s) = @_;
	my $life = $d->{life};
	$d->{stalled_until} = now() + $s;
	note("dark db=$d->{id} role=" . ($d->{primary} ? 'primary' : 'replica') . " term=$d->{term} log=" . end_of($d) . " for_s=$s");
	after($s, sub {
		return if $d->{life} != $life;
		$d->{stalled_until} = 0;
		note("back db=$d->{id} role=" . ($d->{primary} ? 'primary' : 'replica') . " term=$d->{term} log=" . end_of($d));
		$_->() for splice @{$d->{waiting} // []};
		db_input($_) for values %{$d->{conns}};
	});
}
sub leader {
	my ($service) = @_;
	my ($best) = sort { $b->{term} <=> $a->{term} } grep { $_->{service} eq $service && $_->{primary} } @db;
	return $best;
}
sub end_of { my ($d) = @_; my $e = $d->{log}[-1]; return $e ? "$e->{term}.$e->{num}" : "$d->{term}.0" }
sub applied_end { my ($d) = @_; my $e = $d->{applied} ? $d->{log}[$d->{applied} - 1] : undef; return $e ? "$e->{term}.$e->{num}" : '-' }
sub pos_ge { my ($at, $bt, $an, $bn) = @_; return $at > $bt || ($at == $bt && $an >= $bn) }
sub has_position {
	my ($d, $pos) = @_;
	my ($t, $n) = split /\./, $pos;
	return 1 if $n == 0;
	my $e = $d->{applied} ? $d->{log}[$d->{applied} - 1] : undef;
	return $e && pos_ge($e->{term}, $t, $e->{num}, $n);
}
sub replicate {
	for my $to (@db) {
		next if !$to->{running} || $to->{primary} || $to->{stalled_until};
		my $from = leader($to->{service});
		next if !$from || !$from->{running} || $from->{stalled_until};
		if (!$to->{deaf} && $to->{held} <= $from->{term} && $to->{term} <= $from->{term}) {
			$to->{term} = $from->{term};
			my $same = 0;
			my ($a, $b) = ($to->{log}, $from->{log});
			$same = $to->{same_with} && $to->{same_with}[0] eq "$from->{id}.$from->{term}.$from->{life}" ? $to->{same_with}[1] : 0;
			$same = 0 if $same > @$a;
			$same++ while $same < @$a && $same < @$b && $a->[$same] == $b->[$same];
			$#$a = $same - 1;
			$to->{applied} = $same if $to->{applied} > $same;
			push @$a, @$b[$same .. $#$b];
			$to->{same_with} = ["$from->{id}.$from->{term}.$from->{life}", scalar @$a];
		}
		while ($to->{applied} < @{$to->{log}} && $to->{log}[$to->{applied}]{at} + $to->{lag} <= now()) { $to->{applied}++ }
	}
}
sub tick_replicas { replicate(); after(0.004, \&tick_replicas) }
sub accept_db {
	my ($d, $s) = @_;
	my $c = { s => $s, in => '', out => '', db => $d, state => 'I', vars => {}, prepared => {}, life => $d->{life} };
	$c->{on_input} = \&db_input;
	$c->{on_close} = sub { delete $d->{conns}{$c} };
	$d->{conns}{$c} = $c;
	return $c;
}
sub db_input {
	my ($c) = @_;
	while (!$c->{gone} && !$c->{busy} && !$c->{db}{stalled_until} && $c->{in} =~ s/^(.*?)\r\n//s) {
		my $line = $1;
		if ($line =~ /^START (\S+) (\S+)(?: (\S+))?$/ && !$c->{started}) {
			my ($service, $who, $id) = ($1, $2, $3);
			if ($service ne $c->{db}{service} || (defined $id && $id ne $c->{db}{id})) {
				$c->{close_after} = 1;
				return put($c, "ERROR WRONGNODE $c->{db}{id}\r\n");
			}
			$c->{started} = 1;
			$c->{team} = $who;
			in_slot($c, $handshake_s, sub { ready($c) });
		} elsif ($line =~ /^QUERY (\S+) (.*)$/s && $c->{started}) {
			query($c, $1, $2);
		} elsif ($line eq 'TERMINATE') { return hang_up($c) }
		else { return hang_up($c) }
	}
}
# Runs fn after the time of the work, which holds a slot.
sub in_slot {
	my ($c, $s, $fn) = @_;
	my $d = $c->{db};
	$d->{busy}++;
	$c->{busy} = 1;
	my $end;
	$end = sub {
		return if $d->{life} != $c->{life};
		if ($d->{stalled_until}) { push @{$d->{waiting}}, $end; return }
		$d->{busy}--;
		return if $c->{gone};
		$c->{busy} = 0;
		$fn->();
		db_input($c);
	};
	after($s, $end);
}
sub ready { my ($c) = @_; put($c, "READY $c->{state} " . applied_end($c->{db}) . "\r\n") }
sub refuse { my ($c, $code) = @_; put($c, "ERROR $code $c->{db}{id}\r\n"); ready($c) }
sub complete { my ($c, $mac, $row) = @_; put($c, (defined $row ? "ROW $row\r\n" : '') . "COMPLETE $mac\r\n"); ready($c) }
sub report {
	my ($c) = @_;
	my $d = $c->{db};
	complete($c, '-', join ' ', $d->{primary} ? 'primary' : 'replica', $d->{term}, end_of($d), $d->{held}, int($d->{lag} * 1000), $d->{busy}, scalar keys %{$d->{conns}});
}
sub query {
	my ($c, $id, $text) = @_;
	my $d = $c->{db};
	my $arrived = $c->{got} // now();
	if ($text =~ /^(STATUS|PAUSE|RESUME|STEPDOWN)(?: (\d+))?$/) {
		my ($verb, $term) = ($1, $2);
		return refuse($c, 'BUSY') if $verb eq 'STATUS' && $d->{busy} >= $slots;
		$d->{held} = $term if $verb eq 'PAUSE' && !$d->{primary} && $term > $d->{term};
		$d->{held} = 0 if $verb eq 'RESUME';
		if ($verb eq 'STEPDOWN' && $d->{primary} && $d->{term} < $term) { $d->{primary} = 0; register($d) }
		note("control db=$d->{id} $text") if $verb ne 'STATUS';
		return report($c);
	}
	if ($text eq 'RESET') { $c->{vars} = {}; $c->{prepared} = {}; return complete($c, '-') }
	if ($text eq 'ROLLBACK') { $c->{state} = 'I'; $c->{writes} = []; return complete($c, '-') }
	if ($text =~ /^SET (\S+) (.*)$/s) { $c->{vars}{$1} = $2; return complete($c, '-') }
	if ($text =~ /^PREPARE (\S+) (READ|WRITE) (.*)$/s) { $c->{prepared}{$1} = [$2, $3]; return complete($c, '-') }
	my $needed;
	$needed = $1 if $text =~ s/^AFTER (\S+) //;
	return refuse($c, 'LAGGING') if defined $needed && !has_position($d, $needed);
	if ($text =~ /^BEGIN( READ)?$/) {
		return refuse($c, 'READONLY') if !$1 && !$d->{primary};
		($c->{state}, $c->{read_only}, $c->{writes}, $c->{snapshot}) = ('T', !!$1, [], $d->{applied});
		return complete($c, '-');
	}
	return refuse($c, 'BUSY') if $d->{busy} >= $slots;
	in_slot($c, $work_s, sub { statement($c, $id, $text, $arrived, $needed) });
}
sub statement {
	my ($c, $id, $text, $arrived, $needed) = @_;
	my $d = $c->{db};
	my $said = $text;
	if ($text =~ s/^EXECUTE (\S+) ?//) {
		my $p = $c->{prepared}{$1} or return refuse($c, 'NOSTMT');
		$text = "$p->[0] $text";
	}
	my ($row, $what);
	if ($text =~ /^READ (\S+)/) {
		return lost_lead($c) if $c->{state} eq 'T' && !$c->{read_only} && !$d->{primary};
		$row = value($c, $1);
		$what = "READ $1 value=" . $row;
	} elsif ($text =~ /^WRITE (\S+) (.*)$/s) {
		return lost_lead($c) if !$d->{primary} || ($c->{state} eq 'T' && $c->{read_only});
		push @{$c->{writes}}, { item => $1, data => $2 };
		commit($c) if $c->{state} eq 'I';
		$what = "WRITE $1 $2";
	} elsif ($text eq 'COMMIT') {
		return lost_lead($c) if @{$c->{writes} // []} && !$d->{primary};
		commit($c);
		$c->{state} = 'I';
		$what = 'COMMIT';
	} else { return refuse($c, 'MALFORMED') }
	note(sprintf 'run db=%s id=%s team=%s role=%s log=%s applied=%s after=%s arrived=%.4f %s', $d->{id}, $id, $c->{team},
	    $d->{primary} ? 'primary' : 'replica', end_of($d), applied_end($d), $needed // '-', $arrived, $what);
	if ($d->{lose}) {
		$d->{lose}--;
		note("lost db=$d->{id} id=$id");
		return hang_up($c);
	}
	if ($d->{refuse_code} && $what =~ /^(WRITE|COMMIT)/) {
		my $code = delete $d->{refuse_code};
		return refuse($c, $code);
	}
	return complete($c, "mac.$d->{id}.$id", $row) if !$sync || $what !~ /^(WRITE|COMMIT)/ || $c->{state} eq 'T';
	$c->{busy} = 1;
	await_replica($c, scalar @{$d->{log}}, sub { complete($c, "mac.$d->{id}.$id", $row) });
}
# Calls fn once a replica, draining or not, has received the log up to this length.
sub await_replica {
	my ($c, $len, $fn) = @_;
	my $d = $c->{db};
	return if $c->{gone};
	my $e = $len ? $d->{log}[$len - 1] : undef;
	if (!$e || grep { $_ != $d && $_->{service} eq $d->{service} && $_->{running} && !$_->{primary} && ($_->{log}[$len - 1] // 0) == $e } @db) {
		$c->{busy} = 0;
		$fn->();
		return db_input($c);
	}
	after(0.004, sub { await_replica($c, $len, $fn) });
}
sub lost_lead { my ($c) = @_; $c->{state} = 'E' if $c->{state} eq 'T'; refuse($c, 'READONLY') }
sub value {
	my ($c, $item) = @_;
	my $d = $c->{db};
	my $upto = $c->{state} eq 'T' ? $c->{snapshot} : $d->{applied};
	for my $w (reverse @{$c->{writes} // []}) { return $w->{data} if $w->{item} eq $item }
	for (my $i = $upto - 1; $i >= 0; $i--) { return $d->{log}[$i]{data} if $d->{log}[$i]{item} eq $item }
	return 'none';
}
sub commit {
	my ($c) = @_;
	my $d = $c->{db};
	for my $w (@{$c->{writes} // []}) {
		push @{$d->{log}}, { %$w, term => $d->{term}, num => ($d->{log}[-1] ? $d->{log}[-1]{num} : 0) + 1, at => now() };
	}
	$c->{writes} = [];
	$d->{applied} = @{$d->{log}};
	replicate();
}
sub promote_call {
	my ($c, $head, $body) = @_;
	my ($service) = $body =~ /"service":"([^"]*)"/;
	my ($id) = $body =~ /"id":"([^"]*)"/;
	my ($token) = $head =~ /^Gypsumcleat-Fencing-Token:\s*(\d+)/mi;
	my ($holder) = $head =~ /^Gypsumcleat-Duty-Holder:\s*(\S+)/mi;
	note("promote-sent service=$service id=$id token=$token holder=$holder");
	my $hold = delete $hold::s{promote};
	if ($hold) {
		after($hold, sub { do_promote($c, $service, $id, $token, $holder) });
		return;
	}
	do_promote($c, $service, $id, $token, $holder);
}
sub do_promote {
	my ($c, $service, $id, $token, $holder) = @_;
	my $d = $db{$id};
	if (!$d || $d->{service} ne $service || !$d->{running}) { note("promote-refused id=$id"); return reply($c, 409, '{}') }
	my $seen = $highest_token{$service} // 0;
	note("promote service=$service id=$id token=$token holder=$holder highest_before=$seen" . ($token < $seen ? ' LOWER' : ''));
	$highest_token{$service} = $token if $token > $seen;
	push @promotions, "$service $id $token $holder";
	reply($c, 200, '{}');
	return if $d->{primary} && leader($service) == $d;
	after($promote_s, sub {
		return if !$d->{running};
		my ($old) = leader($service);
		my $max = 0;
		for (grep { $_->{service} eq $service } @db) { $max = $_->{term} if $_->{term} > $max }
		@$d{qw(primary term held)} = (1, $max + 1, 0);
		$d->{applied} = @{$d->{log}};
		$n_promoted++;
		note("leads db=$d->{id} term=$d->{term} log=" . end_of($d));
		register($d);
		after(1, sub {
			return if !$old || $old == $d || !$old->{primary} || $old->{term} >= $d->{term};
			$old->{primary} = 0;
			register($old) if $old->{running};
		}) if $old;
	});
}
sub control {
	my ($c, $body, %q) = @_;
	my $do = $q{do} // '';
	my $d = defined $q{db} ? $db{$q{db}} : undef;
	my $text = "ok\n";
	if ($do eq 'config') { write_object('config', 'main', $body); note("config " . ($body =~ /"version":(\d+)/ ? $1 : '?')) }
	elsif ($do eq 'databases') { $text = join '', map { "$_->{id} $_->{service} 127.0.0.1:$_->{port} " . ($_->{primary} ? 'primary' : 'replica') . ' ' . ($_->{running} ? 'up' : 'down') . " $_->{term} " . end_of($_) . "\n" } @db }
	elsif ($do eq 'crash' && $d) { crash($d, $q{down_ms} / 1000, $q{how}) }
	elsif ($do eq 'deaf' && $d) { $d->{deaf} = $q{on}; note("deaf db=$d->{id} on=$q{on}") }
	elsif ($do eq 'lag' && $d) { $d->{lag} = $q{ms} / 1000; note("lag db=$d->{id} ms=$q{ms}") }
	elsif ($do eq 'drain' && $d) { $d->{draining} = 1; register($d) }
	elsif ($do eq 'lose' && $d) { $d->{lose} = $q{n} }
	elsif ($do eq 'refuse' && $d) { $d->{refuse_code} = $q{code} }
	elsif ($do eq 'sync') { $sync = $q{n} }
	elsif ($do eq 'cut') { $cut = $q{on}; note("cut on=$cut") }
	elsif ($do eq 'stall' && $d) { stall($d, $q{ms} / 1000) }
	elsif ($do eq 'work') { $work_s = $q{ms} / 1000 }
	elsif ($do eq 'hold_promote') { $hold::s{promote} = $q{ms} / 1000 }
	elsif ($do eq 'counters') { $text = "promoted $n_promoted\n" . join '', map { "promotion $_\n" } @promotions }
	else { $text = "unknown\n" }
	reply($c, 200, $text);
}

# Set up and run.
for my $service (@services) {
	for my $n (1 .. 3) {
		my $d = { id => "i-$service-$n", service => $service, zone => "z-$n", primary => $n == 1, term => 1, held => 0,
		    log => [], applied => 0, lag => $lag_s, life => 0, busy => 0, conns => {}, deaf => 0 };
		push @db, $d;
		$db{$d->{id}} = $d;
		start_db($d);
	}
}
my $http = listen_at(0);
serve($http, sub { return { s => $_[0], in => '', out => '', on_input => \&http_input } });
my $second = listen_at(0);
serve($second, sub { return { s => $_[0], in => '', out => '', second => 1, on_input => \&http_input } });
tick_replicas();
print "ready 127.0.0.1:" . $http->sockport . " 127.0.0.1:" . $second->sockport . "\n";
STDOUT->flush;
while (1) {
	my $t = now();
	while (@timers && $timers[0][0] <= $t) { (shift @timers)->[1]->() }
	my $wait = @timers ? $timers[0][0] - now() : 1;
	$wait = 0 if $wait < 0;
	my ($r, $w) = IO::Select::select($rd, $wr, undef, $wait);
	for my $s (@{$w // []}) { my $c = $conn{fileno $s // -1}; flush_out($c) if $c }
	for my $s (@{$r // []}) {
		my $fd = fileno $s;
		next if !defined $fd;
		if (defined $udp{$fd}) { datagrams($udp{$fd}); next }
		if (my $open = $listener{$fd}) {
			while (my $n = $s->accept) {
				$n->blocking(0);
				setsockopt $n, IPPROTO_TCP, TCP_NODELAY, 1;
				my $c = $open->($n);
				$conn{fileno $n} = $c;
				$rd->add($n);
			}
			next;
		}
		my $c = $conn{$fd} or next;
		my $n = sysread $s, $c->{in}, 65536, length $c->{in};
		if (!defined $n) { next if $! == EAGAIN || $! == EWOULDBLOCK || $! == EINTR; hang_up($c); next }
		if ($n == 0) { hang_up($c); next }
		$c->{got} = now();
		$c->{on_input}->($c);
	}
}
