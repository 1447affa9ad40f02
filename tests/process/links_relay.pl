# links_relay.pl COUNT: stands between the links and datagrams of so many VMs. A VM
# listens for its peers at 127.0.0.1 on a port that this script chooses, and its
# peers reach it at 127.0.0.2 on the same port. Prints "ready CONTROL PORT...",
# CONTROL being the address that takes one command for each connection:
#	silence WAY	connections open now carry nothing any more, without a
#			reset: to the VM that accepted them (to), from it (from),
#			or both; new ones work
#	reset		resets the connections open now
#	count		prints the number of connections that are not silent
use strict;
use warnings;
use IO::Select;
use IO::Socket::INET;
use Socket qw(sockaddr_in inet_aton SOL_SOCKET SO_LINGER);

use constant BLOCK_BYTES => 65536;
use constant VM_HOST => '127.0.0.1';
use constant RELAY_HOST => '127.0.0.2';

my ($count) = @ARGV;
my (%vm_port, %datagrams, %peer, %to_acceptor, %silent, %is_open);
my $select = IO::Select->new;
$| = 1;
$SIG{PIPE} = 'IGNORE';

# Binds a port for links and datagrams that is free for the VM as well.
sub bind_port {
	for (1 .. 100) {
		my $links = IO::Socket::INET->new(LocalAddr => RELAY_HOST, Listen => 128)
		    or die "listen: $!";
		my $port = $links->sockport;
		my $socket = IO::Socket::INET->new(LocalAddr => RELAY_HOST,
		    LocalPort => $port, Proto => 'udp') or next;
		my $probe = IO::Socket::INET->new(LocalAddr => VM_HOST, LocalPort => $port,
		    Listen => 1) or next;
		close($probe);
		$vm_port{$links} = $vm_port{$socket} = $port;
		$datagrams{$port} = $socket;
		$select->add($links, $socket);
		return $port;
	}
	die "no free port\n";
}

sub forget {
	my ($s) = @_;
	$select->remove($s);
	delete $to_acceptor{$s};
	delete $is_open{$s};
	delete $peer{$s};
	delete $silent{$s};
	close($s);
}

# Closes both ends, but only this one of a silent connection: the other VM must
# not learn of it.
sub close_ends {
	my ($s) = @_;
	my $other = $peer{$s};
	my $is_silent = $silent{$s};
	forget($s);
	forget($other) if $other && !$is_silent && $is_open{$other};
}

sub accept_link {
	my ($listen) = @_;
	my $client = $listen->accept or return;
	my $vm = IO::Socket::INET->new(PeerAddr => VM_HOST . ":$vm_port{$listen}");
	if (!$vm) {
		close($client);
		return;
	}
	($peer{$client}, $peer{$vm}) = ($vm, $client);
	$to_acceptor{$client} = 1;
	$is_open{$_} = $_ for $client, $vm;
	$select->add($client, $vm);
}

sub carries {
	my ($s) = @_;
	my $way = $silent{$s} or return 1;
	return $way eq 'to' ? !$to_acceptor{$s} : $way eq 'from' ? $to_acceptor{$s} : 0;
}

sub relay_stream {
	my ($s) = @_;
	my $n = sysread($s, my $block, BLOCK_BYTES);
	return close_ends($s) if !$n;
	return if !carries($s) || !$is_open{$peer{$s}};
	while (length $block) {
		my $sent = syswrite($peer{$s}, $block);
		return close_ends($s) if !defined $sent;
		substr($block, 0, $sent, '');
	}
}

# The datagram comes from the sender's address at the relay, so that answers pass
# here too.
sub relay_datagram {
	my ($s) = @_;
	my $from = recv($s, my $block, BLOCK_BYTES, 0) // return;
	my ($port) = sockaddr_in($from);
	my $out = $datagrams{$port} or return;
	send($out, $block, 0, sockaddr_in($vm_port{$s}, inet_aton(VM_HOST)));
}

sub command {
	my ($listen) = @_;
	my $c = $listen->accept or return;
	my $line = <$c> // '';
	if ($line =~ /^silence (to|from|both)/) {
		$silent{$_} //= $1 for keys %is_open;
	}
	if ($line =~ /^reset/) {
		for my $s (values %is_open) {
			setsockopt($s, SOL_SOCKET, SO_LINGER, pack('ii', 1, 0));
		}
		forget($_) for values %is_open;
	}
	my $n = grep { $to_acceptor{$_} && !$silent{$_} } keys %is_open;
	print $c "$n\n";
	close($c);
}

my $control = IO::Socket::INET->new(LocalAddr => VM_HOST, Listen => 16) or die "listen: $!";
my @ports = map { bind_port() } 1 .. $count;
print join(' ', 'ready', VM_HOST . ':' . $control->sockport, @ports), "\n";
$select->add($control);
while (my @ready = $select->can_read) {
	for my $s (@ready) {
		if ($s == $control) {
			command($s);
		} elsif ($is_open{$s}) {
			relay_stream($s);
		} elsif ($vm_port{$s}) {
			$s->socktype == Socket::SOCK_DGRAM() ? relay_datagram($s)
			    : accept_link($s);
		}
	}
}
