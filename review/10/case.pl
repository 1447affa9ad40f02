# A route leads to another service for a moment and back; afterwards a session does not
# see its own write.
use strict;
use warnings;
use Client;
use Time::HiRes qw(sleep);

my ($what, $platform, $record, @vm) = @ARGV;
($Client::platform, $Client::record) = ($platform, $record);

# Writes the configuration in which "o-db" leads to this service.
sub configure {
	my ($version, $service) = @_;
	Client::config($version, [['team', 'key-1', 2000, 2000]],
	    [['o-db', 'read_your_writes', $service, 2500, 1000]], ['quotes-a', 'quotes-b']);
}
if ($what eq 'config') { configure(1, 'quotes-a'); exit 0 }
my $trouble = ($ENV{TROUBLE} // 1) ne '0';
my $rounds = $ENV{ROUNDS} // 5;

my ($broken, $judged) = (0, 0);
for my $round (1 .. $rounds) {
	my $c = Client::start($vm[$round % @vm], 'o-db', 'key-1') or next;
	my $first = Client::query($c, "WRITE a old$round");
	sleep 4;	# older than the bound of the route
	my @replicas = grep { $_->{service} eq 'quotes-a' && $_->{role} eq 'replica' } Client::databases();
	if ($trouble) { Client::control("lag&db=$_->{id}&ms=3000") for @replicas }
	my $own = Client::query($c, "WRITE a new$round");
	Client::note("write id=$own->{id} value=new$round end=$own->{end}");
	if ($trouble) {
		configure(2 * $round, 'quotes-b');
		sleep 0.4;
		my $other = Client::query($c, "WRITE b other$round");
		Client::note("write id=$other->{id} value=other$round end=$other->{end}");
		configure(2 * $round + 1, 'quotes-a');
		sleep 0.4;
	} else {
		sleep 0.8;
	}
	for (1 .. 20) {
		last if !$first->{ok} || !$own->{ok};
		my $r = Client::query($c, 'READ a');
		my $v = $r->{rows}[0] // '-';
		my $is_stale = $r->{ok} && $v ne "new$round";
		Client::note("read id=$r->{id} value=$v wanted=new$round after_s=" . sprintf('%.2f', $r->{sent} - $own->{sent}) .
		    " end=$r->{end}" . ($is_stale ? ' STALE' : ''));
		$broken = 1 if $is_stale;
		$judged++;
		sleep 0.02;
	}
	Client::control("lag&db=$_->{id}&ms=8") for @replicas;
	Client::stop($c);
	sleep 3.5;
}
if (!$judged) { Client::note('no session got its writes acknowledged'); exit 2 }
Client::note($broken ? 'BROKEN' : 'held');
print $broken ? "broken\n" : "held\n";
exit $broken;
