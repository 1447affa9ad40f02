# Tests line feeds and carriage returns within the messages of callers and the rows of
# databases, started by tests/process/line_ends.sh:
#	perl line_ends.pl PLATFORM VM-ADDRESS...
# Prints one line per check, and the counts.
use strict;
use warnings;
use Time::HiRes qw(sleep);

BEGIN { require "./tests/process/sessions_lib.pl"; }
our ($platform, $default_vm, $id_prefix, $passed, $failed);

($platform, my @vms) = @ARGV;
$default_vm = $vms[0];
$id_prefix = "line-";
$SIG{PIPE} = "IGNORE";
my $n = 0;

# Reads a reply up to READY or the end of the connection; lines end with CR LF.
sub read_lines {
	my ($c) = @_;
	my $s = $c->{s};
	local $/ = "\r\n";
	local $SIG{ALRM} = sub { die "no reply\n" };
	@$c{"row", "end", "ready"} = ("", "", "");
	eval {
		alarm 10;
		while (my $line = <$s>) {
			chomp $line;
			if ($line =~ /^ROW (.*)/s) { $c->{row} .= $1 }
			elsif ($line =~ /^(?:COMPLETE|ERROR)/) { $c->{end} = $line }
			elsif ($line =~ /^READY (\S)/) { $c->{ready} = $1; last }
		}
		alarm 0;
	};
	return $c;
}

# Writes a message in parts, each in a packet of its own.
sub send_parts {
	my ($c, @parts) = @_;
	for (@parts) {
		syswrite $c->{s}, $_;
		sleep 0.002 if @parts > 1;
	}
}

# Ways to send a message: whole, byte by byte, and with CR and LF apart.
my %ways = (
	"whole" => sub { ($_[0] . "\r\n") },
	"byte by byte" => sub { split //, $_[0] . "\r\n" },
	"CR and LF apart" => sub { ($_[0] . "\r", "\n") },
);
# Each case: name, and the data of a write.
my @cases = (
	["a line feed", "two\nlines"],
	["a line feed before another message", "two lines\nQUERY INNER WRITE price 0"],
	["a line feed at the end", "data\n"],
	["a carriage return", "two\rparts"],
	["a carriage return at the end", "data\r"],
	["several of both", "\n\n\r a \n\r b \r\r"],
);
for my $case (@cases) {
	my ($name, $data) = @$case;
	for my $way (sort keys %ways) {
		my $vm = $vms[$n++ % @vms];
		my $item = "item$n";
		my $inner = "inner-$n";
		(my $sent = $data) =~ s/INNER/$inner/;
		my $c = start("o-db", "key-1", $vm);
		send_parts($c, $ways{$way}->("QUERY write-$n WRITE $item $sent"));
		read_lines($c);
		ok("$name, $way: executed", $c->{end} =~ /^COMPLETE mac\.db-\d\.write-$n$/, $c->{end});
		my $log = control("do=writes");
		ok("$name, $way: the whole text was executed", index($log, "log $item $sent\n") >= 0);
		ok("$name, $way: nothing else was", index($log, "ran $inner ") < 0);
		send_parts($c, $ways{$way}->("QUERY read-$n READ $item"));
		read_lines($c);
		ok("$name, $way: the whole row is read", $c->{row} eq $sent, $c->{row});
		send_parts($c, $ways{$way}->("QUERY set-$n SET name$n $sent"));
		read_lines($c);
		send_parts($c, $ways{$way}->("QUERY again-$n READ $item"));
		read_lines($c);
		ok("$name, $way: read beside such a value", $c->{row} eq $sent, $c->{end});
	}
}
for my $way (sort keys %ways) {
	my $c = start("o-db", "key-1", $vms[$n++ % @vms]);
	send_parts($c, $ways{$way}->("QUERY nul-$n WRITE nul$n a\0b"));
	read_lines($c);
	ok("a NUL, $way: refused as malformed", $c->{end} =~ /^ERROR MALFORMED/, $c->{end});
	ok("a NUL, $way: not executed", index(control("do=writes"), "ran nul-$n ") < 0);
}
print "$passed passed, $failed failed\n";
exit($failed ? 1 : 0);
