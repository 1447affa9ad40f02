# relay.pl IP:PORT FILE: relays connections to an address and appends what
# callers sent to it to a file; prints "ready IP:PORT".
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
my (%peer, %from_caller);

sub close_both {
	my ($s) = @_;
	for my $c ($s, $peer{$s}) {
		$select->remove($c);
		delete $peer{$c};
		delete $from_caller{$c};
		close($c);
	}
}

sub accept_caller {
	my $caller = $listen->accept or return;
	my $database = IO::Socket::INET->new(PeerAddr => $target);
	if (!$database) {
		close($caller);
		return;
	}
	$peer{$caller} = $database;
	$peer{$database} = $caller;
	$from_caller{$caller} = 1;
	$select->add($caller, $database);
}

sub relay {
	my ($s) = @_;
	my $n = sysread($s, my $block, BLOCK_BYTES);
	if (!$n) {
		close_both($s);
		return;
	}
	print $record $block if $from_caller{$s};
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
			accept_caller();
		} elsif ($peer{$s}) {
			relay($s);
		}
	}
}
