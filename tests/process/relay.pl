# relay.pl IP:PORT FILE: accepts connections, relays them to the address and
# appends the bytes that clients send to the file. Prints "ready IP:PORT" with
# the address that it listens on.
use strict;
use warnings;
use IO::Select;
use IO::Socket::INET;

use constant BLOCK_BYTES => 65536;

my ($target, $file) = @ARGV;
my $listen = IO::Socket::INET->new(LocalAddr => '127.0.0.1', Listen => 128)
    or die "listen: $!";
open(my $record, '>>:raw', $file) or die "$file: $!";
$record->autoflush(1);
$| = 1;
print 'ready 127.0.0.1:', $listen->sockport, "\n";

my $select = IO::Select->new($listen);
my (%peer, %from_client);

sub close_both {
	my ($s) = @_;
	for my $c ($s, $peer{$s}) {
		$select->remove($c);
		delete $peer{$c};
		delete $from_client{$c};
		close($c);
	}
}

sub accept_client {
	my $client = $listen->accept or return;
	my $database = IO::Socket::INET->new(PeerAddr => $target);
	if (!$database) {
		close($client);
		return;
	}
	$peer{$client} = $database;
	$peer{$database} = $client;
	$from_client{$client} = 1;
	$select->add($client, $database);
}

sub relay {
	my ($s) = @_;
	my $n = sysread($s, my $block, BLOCK_BYTES);
	if (!$n) {
		close_both($s);
		return;
	}
	print $record $block if $from_client{$s};
	while (length $block) {
		my $sent = syswrite($peer{$s}, $block);
		if (!defined $sent) {
			close_both($s);
			return;
		}
		substr($block, 0, $sent, '');
	}
}

$SIG{PIPE} = 'IGNORE';
while (my @ready = $select->can_read) {
	for my $s (@ready) {
		if ($s == $listen) {
			accept_client();
		} elsif ($peer{$s}) {
			relay($s);
		}
	}
}
