# An acknowledged write is lost in a failover, although a draining replica holds it.
use strict;
use warnings;
use Client;
use Time::HiRes qw(sleep);

my ($what, $platform, $record, @vm) = @ARGV;
($Client::platform, $Client::record, $Client::sync) = ($platform, $record, 1);
if ($what eq 'config') {
	Client::control('sync&n=1');
	Client::config(1, [['team', 'key-1', 2000, 2000]], [['p-db', 'primary', 'quotedb', 0, 2000]], ['quotedb']);
	exit 0;
}
my $trouble = ($ENV{TROUBLE} // 1) ne '0';

# Writes a value on a new session; true if it is acknowledged.
sub write_value {
	my ($v) = @_;
	my $c = Client::start($vm[0], 'p-db', 'key-1') or return 0;
	my $r = Client::query($c, "WRITE a $v");
	Client::note("write id=$r->{id} value=$v end=$r->{end}");
	Client::stop($c);
	return $r->{ok};
}

# Reads the value; undef if the read does not succeed.
sub read_value {
	my ($wanted) = @_;
	my $c = Client::start($vm[1], 'p-db', 'key-1') or return undef;
	my $r = Client::query($c, 'READ a');
	my $v = $r->{rows}[0] // '-';
	Client::note("read id=$r->{id} value=$v wanted=$wanted end=$r->{end}");
	Client::stop($c);
	return undef if !$r->{ok};
	return $v eq 'none' ? 0 : $v;
}

my @db = Client::databases();
my ($primary) = grep { $_->{role} eq 'primary' } @db;
my ($drains, $deaf) = grep { $_->{role} eq 'replica' } @db;
my $newest = 0;
for (1 .. 5) { $newest = $_ if write_value($_); sleep 0.05 }
if ($trouble) {
	Client::control("drain&db=$drains->{id}");
	Client::control("deaf&db=$deaf->{id}&on=1");
}
sleep 1;
for (6 .. 10) { $newest = $_ if write_value($_); sleep 0.05 }
if (!$newest) { Client::note('no write was acknowledged'); exit 2 }
Client::note("newest acknowledged value=$newest");
if ($trouble) { Client::control("crash&db=$primary->{id}&down_ms=7000&how=log") }

# Reads until one succeeds: at the primary that takes over, or at the old one.
my $until = Client::now() + 40;
my $seen;
while (!defined $seen && Client::now() < $until) {
	sleep 0.2;
	$seen = read_value($newest);
}
if (!defined $seen) { Client::note('no read succeeds'); exit 2 }
my $broken = $seen < $newest ? 1 : 0;
for (Client::databases()) { Client::note("database $_->{id} $_->{role} $_->{run} term=$_->{term} log=$_->{log}") }
Client::note($broken ? 'BROKEN' : 'held');
print $broken ? "broken\n" : "held\n";
exit $broken;
