# A heartbeat is delayed on its way and arrives after the backend server has
# deregistered.  The backend server goes on serving for some seconds.
use strict;
use warnings;
use Mesh;

my $period = 0.05;  # seconds between two requests
my $delay = 2.0;    # of the late heartbeat
my $serves = 12.0;  # seconds that it serves after its deregistration

Mesh::begin($ARGV[0]);
my @machines = (
	Mesh::machine('front-1', 0, 'front', 'zone-a'),
	Mesh::machine('plans-1', 1, 'plans', 'zone-a'),
	Mesh::machine('plans-2', 2, 'plans', 'zone-a'),
);
Mesh::start_core($_, 1) for 0 .. 2;
Mesh::start_proxy($_) for @machines;
my $leaving;
my $acknowledged_at;
for my $m (@machines) {
	my $b = Mesh::start_backend($m, work => 0.03);
	$leaving = $b if $m->{name} eq 'plans-1';
}

# The network between the backend server and its proxy delays one connection:
# what is sent here arrives at the proxy after $delay.
my $delayed_ip = $machines[1]{ip};
my $delayed_port = 8640;
Mesh::listen_at($delayed_ip, $delayed_port, sub {
	my ($c) = @_;
	$c->{data} = sub {
		my $bytes = $c->{in};
		$c->{in} = '';
		Mesh::after($delay, sub {
			Mesh::note('the delayed heartbeat arrives');
			my $on = Mesh::connect_to($machines[1]{ip},
				Mesh::port('operator'),
				data => sub {
					my $a = Mesh::take_message(\$_[0]{in}) or return;
					Mesh::note("its answer: $a->{first}");
					Mesh::drop($_[0]);
				});
			Mesh::send_on($on, $bytes);
		});
	};
});

Mesh::submit([
	['r-front', 'shop.example', '/front/', 'idempotent', '4000ms', '800ms', 2, 'front'],
	['r-plans', 'shop.example', '/plans/', 'idempotent', '4000ms', '800ms', 2, 'plans'],
], ['front', 'plans'], sub { Mesh::stop() });
Mesh::run(20);
Mesh::await_ready(\@machines, 20);
Mesh::run($Mesh::bound{stable_window} + 1);

my %sent_at;
my $n = 0;
my $send;
$send = sub {
	$n++;
	my $r = Mesh::request($machines[0], 'GET', 'shop.example', "/plans/$n", {});
	$sent_at{$r->{id}} = $r->{sent_at};
	Mesh::after($period, $send);
};
$send->();
Mesh::run(3);

# The last heartbeat before the departure is sent; it is late or it is not.
$leaving->{silent} = 1;
if (Mesh::trouble()) {
	Mesh::ping($leaving, $delayed_ip, $delayed_port, sub { });
} else {
	Mesh::ping($leaving, undef, undef, sub { });
}
Mesh::run(0.3);
Mesh::deregister($leaving, sub {
	my ($a) = @_;
	$acknowledged_at = Time::HiRes::time() if $a && $a->{status} == 200;
});
Mesh::run($serves);
Mesh::finish(2, 'could not run: no acknowledgement') if !$acknowledged_at;

my $bound = $acknowledged_at + $Mesh::bound{drain};
my @late = grep { $_->{at} > $bound && ($sent_at{$_->{id}} // 0) > $bound }
	@{$leaving->{arrivals}};
Mesh::note(sprintf 'acknowledged at %.3f; late: id=%s after %.3f s',
	$acknowledged_at, $_->{id}, $_->{at} - $acknowledged_at) for @late;
my $text = sprintf 'requests=%d at_leaving_server=%d later_than_drain=%d ' .
	'last_after=%.1fs', $n, scalar @{$leaving->{arrivals}}, scalar @late,
	@late ? $late[-1]{at} - $acknowledged_at : 0;
Mesh::finish(@late ? 1 : 0, $text);
