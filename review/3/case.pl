# A split between two services is replaced by one that gives the old service
# the weight 0, in smaller numbers than before.
use strict;
use warnings;
use Mesh;

my $period = 0.2; # seconds between two requests of the clients on a machine
my $before = 5;   # seconds with the first weights
my $after = 20;   # seconds with the second ones
my %first = ('plans-new' => 10, 'plans-old' => 90);
my %second = ('plans-new' => 1, 'plans-old' => 0);

Mesh::begin($ARGV[0]);
my @front = map { Mesh::machine("front-$_", $_, 'front', 'zone-a') } 1 .. 8;
my $old = Mesh::machine('plans-old-1', 20, 'plans-old', 'zone-a');
my $new = Mesh::machine('plans-new-1', 21, 'plans-new', 'zone-a');
my @machines = (@front, $old, $new);
Mesh::start_core($_, 1) for 0 .. 2;
Mesh::start_proxy($_) for @machines;
Mesh::start_backend($_, work => 0.01) for @machines;

sub configure {
	my ($weights, $accepted) = @_;
	Mesh::note('weights ' . join ' ', map { "$_=$weights->{$_}" }
		sort keys %$weights);
	Mesh::submit([
		['r-front', 'shop.example', '/front/', 'idempotent', '4000ms', '800ms', 2, 'front'],
		['r-plans', 'shop.example', '/plans/', 'idempotent', '4000ms', '800ms', 2, $weights],
	], ['front', 'plans-new', 'plans-old'], $accepted);
}

configure(Mesh::trouble() ? \%first : \%second, sub { Mesh::stop() });
Mesh::run(20);
Mesh::await_ready(\@machines, 20);
Mesh::run($Mesh::bound{stable_window} + 1);

my %sent_at;
my $n = 0;
for my $m (@front) {
	my $send;
	$send = sub {
		$n++;
		my $r = Mesh::request($m, 'GET', 'shop.example', "/plans/$n", {});
		$sent_at{$r->{id}} = $r->{sent_at};
		Mesh::after($period, $send);
	};
	Mesh::after(rand $period, $send);
}
Mesh::run($before);
my $acknowledged_at = Time::HiRes::time();
if (Mesh::trouble()) {
	undef $acknowledged_at;
	configure(\%second, sub { $acknowledged_at = Time::HiRes::time() });
}
Mesh::run($after);
Mesh::finish(2, 'could not run: not acknowledged') if !$acknowledged_at;

# Those sent later than config_apply after the acknowledgement.
my $bound = $acknowledged_at + $Mesh::bound{config_apply};
my ($at_old, $at_new) = map {
	my $b = $_->{backend};
	[grep { ($sent_at{$_->{id}} // 0) > $bound } @{$b->{arrivals}}];
} $old, $new;
my $last = @$at_old ? $at_old->[-1]{at} - $acknowledged_at : 0;
my $text = sprintf 'requests=%d later_than_config_apply: at_weight_0=%d ' .
	'at_weight_1=%d last_at_weight_0=%.1fs', $n, scalar @$at_old,
	scalar @$at_new, $last;
Mesh::finish(2, "could not run: $text") if @$at_old + @$at_new < 200;
Mesh::finish(@$at_old ? 1 : 0, $text);
