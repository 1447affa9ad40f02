package Client;
# A caller of the wire protocol, and calls to the stand-in's control address.
use strict;
use warnings;
use IO::Socket::INET;
use IO::Select;
use Time::HiRes qw(clock_gettime CLOCK_MONOTONIC sleep);

our ($platform, $record);
our $sync = 0;	# syncReplicas of the services
my $ids = 0;
sub now { return clock_gettime(CLOCK_MONOTONIC) }
sub note { open my $f, '>>', $record or return; syswrite $f, sprintf("%.4f %s\n", now(), join ' ', @_); close $f }

sub http {
	my ($at, $method, $path, $body) = @_;
	my $s = IO::Socket::INET->new(PeerAddr => $at, Timeout => 3) or return (0, '');
	$body //= '';
	print $s "$method $path HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: " . length($body) . "\r\n\r\n$body";
	my $all = '';
	my $until = now() + 3;
	while (now() < $until) {
		IO::Select->new($s)->can_read(0.5) or next;
		sysread $s, $all, 65536, length $all or last;
		last if $all =~ /\r\nContent-Length: (\d+).*?\r\n\r\n/si && length($') >= $1;
	}
	my ($status) = $all =~ m{^HTTP/1\.\d (\d+)};
	my ($b) = $all =~ /\r\n\r\n(.*)/s;
	return ($status // 0, $b // '');
}
sub ready { my ($code) = http($_[0], 'GET', '/gypsumcleat/ready'); return $code == 200 }
sub control { my ($do, $body) = @_; return (http($platform, 'POST', "/control?do=$do", $body))[1] }
# The databases: a list of { id, service, at, role, run, term, log }.
sub databases {
	return map { my %d; @d{qw(id service at role run term log)} = split ' '; \%d } split /\n/, control('databases');
}
sub primary_of { my ($service) = @_; my ($d) = sort { $b->{term} <=> $a->{term} } grep { $_->{service} eq $service && $_->{role} eq 'primary' } databases(); return $d }

# Writes config/main: version, tenants as [name, key, rate, burst], routes as
# [host, kind, service, max staleness, timeout], services.
sub config {
	my ($version, $tenants, $routes, $services) = @_;
	my $t = join ',', map { sprintf '{"name":"%s","apiKeys":["%s"],"ratePerS":%d,"burst":%d}', @$_ } @$tenants;
	my $r = join ',', map { sprintf '{"name":"%s","host":"%s","kind":"%s","service":"%s","maxStalenessMs":%d,"timeoutMs":%d,"targetLatencyMs":400,"priority":1,"public":false}', $_->[0], @$_[0 .. 4] } @$routes;
	my $s = join ',', map { "{\"name\":\"$_\",\"maxConns\":34,\"syncReplicas\":$sync}" } @$services;
	control('config', "{\"version\":$version,\"routes\":[$r],\"services\":[$s],\"limits\":{\"txIdleMs\":5000},\"tenants\":[$t]}");
}

# A session; undef if it is refused.
sub start {
	my ($vm, $db, $key) = @_;
	my $s = IO::Socket::INET->new(PeerAddr => $vm, Timeout => 2) or return undef;
	$s->autoflush(1);
	my $c = { s => $s, in => '', vm => $vm };
	syswrite $s, "START $db $key\r\n";
	my $r = reply($c, 2);
	return $r->{ready} ? $c : undef;
}
# Reads up to READY: { end, rows, ready }; end is CLOSED if the connection ends, NONE
# after the time.
sub reply {
	my ($c, $most) = @_;
	my $until = now() + $most;
	my %r = (rows => [], end => '', ready => '');
	while (1) {
		while ($c->{in} =~ s/^(.*?)\r\n//s) {
			my $line = $1;
			if ($line =~ /^ROW ?(.*)/s) { push @{$r{rows}}, $1 }
			elsif ($line =~ /^(COMPLETE|ERROR)/) { $r{end} = $line }
			elsif ($line =~ /^READY (\S)/) { $r{ready} = $1; return \%r }
		}
		my $left = $until - now();
		if ($left <= 0) { $r{end} ||= 'NONE'; return \%r }
		next if !IO::Select->new($c->{s})->can_read($left);
		if (!sysread $c->{s}, $c->{in}, 65536, length $c->{in}) { $r{end} ||= 'CLOSED'; $c->{dead} = 1; return \%r }
	}
}
sub query {
	my ($c, $text, $most) = @_;
	my $id = sprintf '%x%04x%06x', $$, int(rand 65536), ++$ids;
	$c->{id} = $id;
	$c->{sent} = now();
	if (!defined syswrite $c->{s}, "QUERY $id $text\r\n") { $c->{dead} = 1; return { rows => [], end => 'CLOSED', ready => '' } }
	my $r = reply($c, $most // 4);
	$r->{id} = $id;
	$r->{sent} = $c->{sent};
	$r->{took} = now() - $c->{sent};
	$r->{ok} = $r->{end} =~ /^COMPLETE (?!-)/ ? 1 : 0;
	$c->{dead} = 1 if $r->{end} eq 'NONE' || $r->{ready} eq '';
	return $r;
}
sub stop { my ($c) = @_; syswrite $c->{s}, "TERMINATE\r\n"; close $c->{s} }
1;
