# Functions of the tests of callers' sessions: checks, calls to the fake platform,
# and sessions at VMs. Scripts require it from the root of the tree and set
# $platform and $default_vm.
use strict;
use warnings;
use IO::Socket::INET;

our ($passed, $failed) = (0, 0);
# Address of the fake platform, and of the VM of sessions that name none.
our ($platform, $default_vm);
# Ids of statements begin with this; no two scripts of a run may share one.
our $id_prefix = "id";
my $ids = 0;

# Declared with a prototype, since a match that fails is an empty list otherwise, and
# the next argument would be taken for its result. Scripts load this file in BEGIN.
sub ok($$;$) {
	my ($name, $good, $seen) = @_;
	$good ? $passed++ : $failed++;
	print $good ? "ok $name\n" : "not ok $name\n";
	print "# $seen\n" if !$good && defined $seen;
}

# Sends one HTTP request; returns the status and the body.
sub http {
	my ($at, $path) = @_;
	my $s = IO::Socket::INET->new(PeerAddr => $at, Timeout => 5) or return (0, "");
	print $s "GET $path HTTP/1.0\r\n\r\n";
	my $all = do { local $/; <$s> } // "";
	my ($status) = $all =~ m{^HTTP/1\.\d (\d+)};
	my ($body) = $all =~ /\r\n\r\n(.*)/s;
	return ($status // 0, $body // "");
}
sub control { return (http($platform, "/control?$_[0]"))[1] }
sub counter { my ($n) = control("do=count") =~ /^$_[0] (\S+)/m; return $n // "" }

# Starts a session: start DATABASE KEY [VM]. See read_reply() for the reply.
sub start {
	my ($db, $key, $vm) = @_;
	my $s = IO::Socket::INET->new(PeerAddr => $vm // $default_vm, Timeout => 5)
	    or return undef;
	$s->autoflush(1);
	my $self = { s => $s };
	print $s "START $db $key\r\n";
	read_reply($self);
	return $self;
}

# Reads a reply up to READY or the end of the connection into {rows}, {end} and
# {ready}.
sub read_reply {
	my ($c) = @_;
	my $s = $c->{s};
	$c->{rows} = [];
	$c->{end} = $c->{ready} = "";
	local $SIG{ALRM} = sub { die "no reply\n" };
	eval {
		alarm 10;
		while (my $line = <$s>) {
			$line =~ s/\r?\n$//;
			if ($line =~ /^ROW (.*)/) { push @{$c->{rows}}, $1 }
			elsif ($line =~ /^(COMPLETE|ERROR)/) { $c->{end} = $line }
			elsif ($line =~ /^READY (\S)/) { $c->{ready} = $1; last }
		}
		alarm 0;
	};
	$c->{end} = "CLOSED" if !$c->{end} && !$c->{ready};
	return $c;
}

# Sends a statement without waiting for its reply.
sub send_query {
	my ($c, $text) = @_;
	my $id = sprintf("%s%06d", $id_prefix, ++$ids);
	my $s = $c->{s};
	print $s "QUERY $id $text\r\n";
	$c->{id} = $id;
}
sub query {
	my ($c, $text) = @_;
	send_query($c, $text);
	read_reply($c);
	return $c->{end};
}
sub value { my ($c, $item) = @_; query($c, "READ $item"); return $c->{rows}[0] // $c->{end} }
sub done { my ($c) = @_; return $c->{end} =~ /^COMPLETE mac\.db-\d\.$c->{id}$/ }

# Writes until one succeeds, with a new session each time. Returns that session,
# or undef.
sub write_until_done {
	my ($item, $data, $tries) = @_;
	for (1 .. $tries) {
		my $c = start("o-db", "key-1");
		query($c, "WRITE $item $data");
		return $c if done($c);
		select(undef, undef, undef, 0.1);
	}
	return undef;
}

1;
