# A backend server in trouble sends bytes without end in the body of an answer,
# until its caller closes.  The route's timeout is shorter than the time that
# the clients wait.
use strict;
use warnings;
use Mesh;

my $timeout = 1.0; # of the route
my $budget = 6.0;  # of the clients
my $requests = 20;
my $rate = 200_000; # bytes a second in each endless answer

Mesh::begin($ARGV[0]);
my @machines = (
	Mesh::machine('front-1', 0, 'front', 'zone-a'),
	Mesh::machine('files-1', 1, 'files', 'zone-a'),
);
Mesh::start_core($_, 1) for 0 .. 2;
Mesh::start_proxy($_) for @machines;

my $n_endless = 0;
sub endless {
	my ($b, $r, $id) = @_;
	return 0 if !Mesh::trouble() || $b->{machine}{name} ne 'files-1';
	my $c = $r->{conn};
	my $began = Time::HiRes::time();
	$n_endless++;
	Mesh::note("backend files-1 runs id=$id and sends bytes without end");
	Mesh::send_on($c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: $id\r\n" .
		"X-Response-Stamp: stamp.$id\r\nTransfer-Encoding: chunked\r\n\r\n");
	my $more;
	$more = sub {
		if ($c->{closed}) {
			Mesh::note(sprintf 'backend files-1 id=%s closed by the ' .
				'proxy after %.3f s', $id,
				Time::HiRes::time() - $began);
			return;
		}
		my $len = $rate / 20;
		Mesh::send_on($c, sprintf("%x\r\n%s\r\n", $len, 'x' x $len))
			if length $c->{out} < 4 * $len;
		Mesh::after(0.05, $more);
	};
	$more->();
	return 1;
}

Mesh::start_backend($_, work => 0.1, answer => \&endless) for @machines;
Mesh::submit([
	['r-front', 'shop.example', '/front/', 'idempotent', '4000ms', '800ms', 2, 'front'],
	['r-files', 'shop.example', '/files/', 'download', '1000ms', '800ms', 1, 'files'],
], ['front', 'files'], sub { Mesh::stop() });
Mesh::run(20);
Mesh::await_ready(\@machines, 20);
Mesh::run($Mesh::bound{stable_window} + 1);

my @results;
for my $n (1 .. $requests) {
	Mesh::after($n * 0.4, sub {
		Mesh::request($machines[0], 'GET', 'shop.example', "/files/$n",
			{ budget => $budget }, sub {
				my ($a, $why, $r) = @_;
				push @results, $r;
			});
	});
}
Mesh::run($requests * 0.4 + $budget + 2);

my @long = grep { $_->{ended_at} - $_->{sent_at} > $timeout } @results;
my @late = grep { $_->{ended_at} - $_->{sent_at} > $timeout + 0.5 } @results;
my $text = sprintf 'requests=%d endless=%d longer_than_timeout=%d ' .
	'no_final_answer_0.5s_after_it=%d', scalar @results, $n_endless,
	scalar @long, scalar @late;
Mesh::finish(2, "could not run: $text") if @results < $requests;
Mesh::finish(@late >= 8 && @late > @long / 4 ? 1 : 0, $text);
