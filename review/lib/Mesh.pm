# A small deployment on loopback for the cases of this folder: processes of the
# system, and stand-ins of callers, backend servers, the operator and the
# platform in one event loop.
#
# The processes are started with the commands of deploy/system.toml and with
# the settings that its templates give.  Every machine has a loopback address of
# its own; the ports are the same on all of them.
package Mesh;
use strict;
use warnings;
use Fcntl qw(F_GETFL F_SETFL O_NONBLOCK);
use IO::Select;
use IO::Socket::INET;
use POSIX qw(:sys_wait_h);
use Socket qw(IPPROTO_TCP TCP_NODELAY);
use Time::HiRes qw(time sleep);

# The ports of each machine.
my %port = (
	operator => 8620, caller => 8629, peer => 8624, ready => 8625,
	backend => 8628, source => 7600, relay => 7615, metrics => 9600,
);
# As in the settings of a small deployment.
our %bound = (
	stable_window => 4.0, drain => 2.5, grace => 6.0, config_apply => 2.5,
	heartbeat => 0.87, loss_slack => 0.2,
);

my %option;
my (@timers, %conn_by_fd, %children, @stop_files);
my ($record, $started_at, $net, $work, $root, $running);
my $next_id = 0;

# new(case folder): choose a free network and open the record of the case
sub begin {
	my ($folder) = @_;
	$root = $ENV{REVIEW_ROOT} or die "REVIEW_ROOT is not set\n";
	$started_at = time;
	open $record, '>', "$folder/record.txt" or die "record.txt: $!\n";
	$record->autoflush(1);
	$work = `mktemp -d`;
	chomp $work;
	$work or die "no temporary folder\n";
	$net = free_net();
	$SIG{PIPE} = 'IGNORE';
	$SIG{INT} = $SIG{TERM} = sub { finish(2, 'interrupted') };
	note("start net=$net trouble=" . trouble());
	for my $p (qw(caraway-core caraway-proxy)) {
		-x "$root/target/$p" or finish(2, "target/$p is not built");
	}
}

sub trouble { return ($ENV{TROUBLE} // '1') ne '0' ? 1 : 0 }

sub port { return $port{$_[0]} }

# A network whose first machine can bind all ports.
sub free_net {
	for (1 .. 50) {
		my $n = sprintf '127.%d.%d', 32 + int(rand 180), int(rand 250);
		my @s = map { IO::Socket::INET->new(LocalAddr => "$n.10",
			LocalPort => $_, Listen => 1, ReuseAddr => 1) }
			values %port;
		return $n if @s == grep { defined } @s;
	}
	die "no free ports\n";
}

sub elapsed { return time - $started_at }

sub note {
	printf $record "%8.3f %s\n", elapsed(), $_[0];
}

# finish(status, text): end all processes and exit
sub finish {
	my ($status, $text) = @_;
	note("result status=$status $text");
	print "$text\n";
	for my $p (keys %children) {
		kill 'CONT', $p;
		kill 'KILL', $p;
		waitpid $p, 0;
	}
	system 'rm', '-rf', $work if $work;
	exit $status;
}

# ---- processes

sub spawn {
	my ($name, $program, $settings) = @_;
	my $file = "$work/$name.toml";
	open my $f, '>', $file or die "$file: $!\n";
	print $f $settings;
	close $f;
	my $pid = fork;
	defined $pid or finish(2, 'fork failed');
	if (!$pid) {
		chdir $root;
		open STDIN, '<', '/dev/null';
		open STDOUT, '>>', "$work/$name.log";
		open STDERR, '>&', \*STDOUT;
		%ENV = (PATH => $ENV{PATH}, CARAWAYBEND_NODE_FILE => $file);
		{ exec "target/$program", "--settings", $file }
		no warnings;
		POSIX::_exit(127);
	}
	$children{$pid} = $name;
	note("process $name pid=$pid started");
	return $pid;
}

# signal_process(pid, signal)
sub signal_process {
	my ($pid, $signal) = @_;
	note("process $children{$pid} pid=$pid signal=$signal");
	kill $signal, $pid;
	if ($signal eq "KILL") {
		waitpid $pid, 0;
		delete $children{$pid};
	}
}

sub reap {
	while ((my $pid = waitpid -1, WNOHANG) > 0) {
		my $name = delete $children{$pid} // '?';
		note("process $name pid=$pid ended status=$?");
	}
}

# log_of(name): lines of a process's log
sub log_of {
	my ($name) = @_;
	open my $f, '<', "$work/$name.log" or return ();
	return <$f>;
}

sub common {
	my ($name, $zone, $region, $ip) = @_;
	return <<"END";
[mesh]
name = "carawaybend"
key_file = "deploy/mesh.key"
[instance]
name = "$name"
data_centre = "$zone"
region = "$region"
[log]
file = "-"
level = "info"
[metrics]
address = "$ip:$port{metrics}"
END
}

sub core_ip { return "$net." . (10 + $_[0]) }
sub seeds { return join ', ', map { '"' . core_ip($_) . ":$port{operator}\"" } 0 .. 2 }

# start_core(number, first): an instance of the core
sub start_core {
	my ($i, $first) = @_;
	my $ip = core_ip($i);
	mkdir "$work/core-$i";
	return spawn("core-$i", 'caraway-core',
		common("core-$i", 'zone-' . ($i % 2 ? 'b' : 'a'), 'home', $ip) .
		<<"END");
[core]
operator_address = "$ip:$port{operator}"
source_address = "$ip:$port{source}"
relay_address = "$ip:$port{relay}"
data_folder = "$work/core-$i"
[group]
seeds = [@{[seeds()]}]
first_start = @{[$first ? 'true' : 'false']}
losses = 1
END
}

# machine(name, number, service, zone): a machine of the class sidecar
sub machine {
	my ($name, $i, $service, $zone) = @_;
	return { name => $name, ip => "$net." . (40 + $i), service => $service,
		zone => $zone };
}

sub start_proxy {
	my ($m) = @_;
	my $ip = $m->{ip};
	$m->{pid} = spawn($m->{name}, 'caraway-proxy',
		common($m->{name}, $m->{zone}, 'home', $ip) . <<"END");
[proxy]
caller_address = "$ip:$port{caller}"
peer_address = "$ip:$port{peer}"
ready_address = "$ip:$port{ready}"
beat_address = "$ip:$port{operator}"
grace = "6s"
link_rate = "1000.0Mbit"
[backend]
address = "$ip:$port{backend}"
service = "$m->{service}"
[relays]
addresses = [@{[seeds()]}]
port = $port{relay}
END
	return $m->{pid};
}

# ---- event loop

sub at { push @timers, [$_[0], $_[1]]; return }
sub after { return at(time + $_[0], $_[1]) }

# run(seconds): run the loop, until stop() at the latest
sub run {
	my ($seconds) = @_;
	my $end = time + $seconds;
	$running = 1;
	while ($running && time < $end) {
		step($end);
	}
}

sub stop { $running = 0 }

sub step {
	my ($end) = @_;
	my ($r, $w) = ('', '');
	my $now = time;
	my $wait = $end - $now;
	for my $t (@timers) {
		$wait = $t->[0] - $now if $t->[0] - $now < $wait;
	}
	$wait = 0 if $wait < 0;
	$wait = 0.1 if $wait > 0.1;
	for my $c (values %conn_by_fd) {
		vec($r, $c->{fd}, 1) = 1 if !$c->{paused};
		vec($w, $c->{fd}, 1) = 1 if length $c->{out} || $c->{connecting};
	}
	my $n = select $r, $w, undef, $wait;
	if ($n > 0) {
		for my $fd (keys %conn_by_fd) {
			my $c = $conn_by_fd{$fd} or next;
			on_writable($c) if vec $w, $fd, 1;
			$c = $conn_by_fd{$fd} or next;
			on_readable($c) if vec $r, $fd, 1;
		}
	}
	$now = time;
	my @due = sort { $a->[0] <=> $b->[0] } grep { $_->[0] <= $now } @timers;
	@timers = grep { $_->[0] > $now } @timers;
	$_->[1]->() for @due;
	reap();
}

sub add {
	my ($s, %c) = @_;
	my $c = { sock => $s, fd => fileno $s, in => '', out => '', %c };
	fcntl $s, F_SETFL, fcntl($s, F_GETFL, 0) | O_NONBLOCK;
	$conn_by_fd{$c->{fd}} = $c;
	return $c;
}

sub drop {
	my ($c) = @_;
	return if $c->{closed};
	$c->{closed} = 1;
	delete $conn_by_fd{$c->{fd}};
	close $c->{sock};
}

# listen_at(ip, port, accepted)
sub listen_at {
	my ($ip, $port, $accepted) = @_;
	my $s = IO::Socket::INET->new(LocalAddr => $ip, LocalPort => $port,
		Listen => 256, ReuseAddr => 1) or finish(2, "$ip:$port: $!");
	return add($s, accepted => $accepted);
}

# connect_to(ip, port, callbacks): data(conn), ended(conn, why)
sub connect_to {
	my ($ip, $port, %cb) = @_;
	my $s = IO::Socket::INET->new(Proto => 'tcp', Blocking => 0);
	setsockopt $s, IPPROTO_TCP, TCP_NODELAY, 1;
	connect $s, Socket::pack_sockaddr_in($port, Socket::inet_aton($ip));
	return add($s, connecting => 1, %cb);
}

sub send_on {
	my ($c, $data) = @_;
	return if $c->{closed};
	$c->{out} .= $data;
	on_writable($c) if !$c->{connecting};
}

sub on_writable {
	my ($c) = @_;
	if ($c->{connecting}) {
		my $e = $c->{sock}->sockopt(Socket::SO_ERROR());
		return end_conn($c, 'refused') if $e;
		$c->{connecting} = 0;
	}
	return if !length $c->{out};
	my $n = syswrite $c->{sock}, $c->{out};
	if (defined $n) {
		substr $c->{out}, 0, $n, '';
		$c->{sent} += $n;
		$c->{drained}->($c) if !length $c->{out} && $c->{drained};
	} elsif (!$!{EAGAIN}) {
		end_conn($c, 'reset');
	}
}

sub on_readable {
	my ($c) = @_;
	if ($c->{accepted}) {
		my $s = $c->{sock}->accept or return;
		setsockopt $s, IPPROTO_TCP, TCP_NODELAY, 1;
		$c->{accepted}->(add($s));
		return;
	}
	return if $c->{connecting};
	my $n = sysread $c->{sock}, $c->{in}, 1 << 20, length $c->{in};
	if ($n) {
		$c->{data}->($c) if $c->{data};
	} elsif (defined $n) {
		end_conn($c, 'closed');
	} elsif (!$!{EAGAIN}) {
		end_conn($c, 'reset');
	}
}

sub end_conn {
	my ($c, $why) = @_;
	drop($c);
	$c->{ended}->($c, $why) if $c->{ended};
}

# ---- HTTP

# take_message(buffer reference): the next whole message, or undef; the body
# is delimited by its length or in chunks
sub take_message {
	my ($in, $eof) = @_;
	my $end = index $$in, "\r\n\r\n";
	return if $end < 0;
	my $head = substr $$in, 0, $end;
	my ($first, @lines) = split /\r\n/, $head;
	my %field;
	for (@lines) {
		my ($name, $value) = split /:\s*/, $_, 2;
		$field{lc $name} = $value;
	}
	# Most calls see a part of a long body only.
	my $missing = ($field{"content-length"} // 0) - (length($$in) - $end - 4);
	return if $missing > 0;
	my $rest = substr $$in, $end + 4;
	my $m = { first => $first, field => \%field, body => '' };
	if (lc($field{'transfer-encoding'} // '') eq 'chunked') {
		my $at = 0;
		while (1) {
			substr($rest, $at) =~ /^([0-9a-fA-F]+)[^\r\n]*\r\n/ or return;
			my $len = hex $1;
			$at += length $&;
			return if length($rest) < $at + $len + 2;
			$m->{body} .= substr $rest, $at, $len;
			$at += $len + 2;
			last if !$len;
		}
		$$in = substr $rest, $at;
		return $m;
	}
	my $len = $field{'content-length'} // 0;
	return if length($rest) < $len;
	$m->{body} = substr $rest, 0, $len;
	$$in = substr $rest, $len;
	return $m;
}

# call(ip, port, method, path, fields, body, done): one call on a new
# connection; done(answer or undef, how it ended)
sub call {
	my ($ip, $port, $method, $path, $fields, $body, $done, $limit) = @_;
	my $over = 0;
	my $c;
	my $end = sub {
		my ($m, $why) = @_;
		return if $over++;
		drop($c);
		$done->($m, $why) if $done;
	};
	$c = connect_to($ip, $port,
		data => sub {
			my $m = take_message(\$_[0]{in}) or return;
			($m->{status}) = $m->{first} =~ /^HTTP\/1\.[01] (\d+)/;
			$end->($m, 'answered');
		},
		ended => sub { $end->(undef, $_[1]) });
	send_on($c, "$method $path HTTP/1.1\r\nHost: $ip\r\n" .
		join('', map { "$_: $fields->{$_}\r\n" } sort keys %$fields) .
		'Content-Length: ' . length($body) . "\r\n\r\n$body");
	after($limit // 1, sub { $end->(undef, 'timeout') });
	return $c;
}

# ---- operator

my $version = 0;

sub row {
	my (@r) = @{$_[0]};
	my $to = pop @r;
	my ($split, $service) = ("null", "\"$to\"");
	if (ref $to) {
		$split = "[" . join(",", map {
			"{\"service\":\"$_\",\"weight\":$to->{$_}}" }
			sort keys %$to) . "]";
		$service = "null";
	}
	return sprintf "[\"%s\",\"%s\",\"%s\",\"%s\",\"%s\",\"%s\",1,%s,%d,%s]",
		@r[0 .. 5], $split, $r[6], $service;
}

# submit(routes, accepted): send a configuration until it is accepted; each
# route is [name, host, prefix, kind, timeout, target, attempts, service], where
# a hash of weights by service stands for a weighted split
sub submit {
	my ($routes, $services, $accepted, $limits) = @_;
	my $base = sprintf '%08x', $version;
	my $next = sprintf '%08x', $version + 2;
	my $rows = join ",", map { row($_) } @$routes;
	my $names = join ',', map { "[\"$_\",\"/health\",130,\"h1\",false]" } @$services;
	$limits //= '"max_header_bytes":16384,"max_body_bytes":67108864,' .
		'"header_timeout":"3000ms","idle_timeout":"15000ms"';
	my $body = '{"version":"' . $next . '","routes":{"columns":["name","host",' .
		'"path_prefix","kind","timeout","target_latency","priority",' .
		'"weighted_split","attempts","service"],"rows":[' . $rows . ']},' .
		'"services":{"columns":["name","health_path","max_connections",' .
		'"protocol","tls"],"rows":[' . $names . ']},"limits":{' . $limits .
		'}}';
	my $core = 0;
	my $try;
	my $send = sub {
		my ($ip, $port) = @_;
		call($ip, $port, 'POST', '/v1/config/replace',
			{ 'X-Base-Version' => $base,
			  'Content-Type' => 'application/json' }, $body, sub {
			my ($m, $why) = @_;
			my $to = $m && $m->{status} == 307
				? $m->{field}{location} : '';
			if ($to =~ m{^http://([\d.]+):(\d+)/}) {
				$try->($1, $2);
				return;
			}
			if ($m && $m->{status} == 200) {
				$version += 2;
				note("configuration $next acknowledged");
				$accepted->();
				return;
			}
			note("configuration $next " .
				($m ? "status=$m->{status}" : $why));
			after(0.2, sub { $try->() });
		});
	};
	$try = sub {
		my ($ip, $port) = @_;
		$send->($ip // core_ip($core++ % 3), $port // $port{operator});
	};
	$try->();
}

# ---- platform

# is_ready(machine, done): GET of the ready address
sub is_ready {
	my ($m, $done) = @_;
	call($m->{ip}, $port{ready}, 'GET', '/v1/ready', {}, '', sub {
		$done->($_[0] && $_[0]{status} == 200);
	});
}

# await_ready(machines, limit): run until all of them are ready
sub await_ready {
	my ($machines, $limit) = @_;
	my %ready;
	my $ask;
	$ask = sub {
		for my $m (grep { !$ready{$_->{name}} } @$machines) {
			is_ready($m, sub {
				$ready{$m->{name}} = 1 if $_[0];
				stop() if keys %ready == @$machines;
			});
		}
		after(0.2, $ask) if keys %ready < @$machines;
	};
	$ask->();
	run($limit);
	finish(2, 'not ready in time') if keys %ready < @$machines;
	note('all proxies are ready');
}

# ---- backend servers

# start_backend(machine, options): id, slots, work (seconds), answer (callback
# that may take over the answer of a request), and ping (callback that may take
# over the sending of a ping)
sub start_backend {
	my ($m, %o) = @_;
	my $b = { machine => $m, id => sprintf('i-%08x', int(rand 0xffffffff)),
		slots => 10, work => 0.02, sequence => 0, state => 'ready',
		born => int(time * 1000), arrivals => [], %o };
	$m->{backend} = $b;
	listen_at($m->{ip}, $port{backend}, sub { serve($b, $_[0]) });
	ping_later($b, 0);
	return $b;
}

sub serve {
	my ($b, $c) = @_;
	$c->{number} = ++$b->{n_conns};
	$c->{data} = sub {
		my $r = take_message(\$c->{in}) or return;
		$r->{at} = time;
		$r->{conn} = $c;
		$c->{n_requests}++;
		handle($b, $r);
	};
	$c->{ended} = sub { $b->{on_ended}->($c) if $b->{on_ended} };
}

sub handle {
	my ($b, $r) = @_;
	my $id = $r->{field}{'x-attempt-id'} // '';
	if ($r->{first} =~ m{^GET /health }) {
		send_on($r->{conn}, "HTTP/1.1 200 OK\r\nX-Instance-Id: $b->{id}\r\n" .
			"Content-Length: 0\r\n\r\n");
		return;
	}
	my $target = $r->{field}{'x-target-instance'};
	if (defined $target && $target ne $b->{id}) {
		note("backend $b->{machine}{name} id=$id rejected: for $target");
		send_on($r->{conn}, "HTTP/1.1 421 Misdirected Request\r\n" .
			"X-Instance-Id: $b->{id}\r\nX-Attempt-Id: $id\r\n" .
			"Content-Length: 0\r\n\r\n");
		return;
	}
	return if $b->{answer} && $b->{answer}->($b, $r, $id);
	note("backend $b->{machine}{name} runs id=$id conn=$r->{conn}{number}");
	push @{$b->{arrivals}}, { id => $id, at => $r->{at} };
	after($b->{work}, sub { answer($r->{conn}, $id, "done $id\n") });
}

sub answer {
	my ($c, $id, $body) = @_;
	send_on($c, answer_text($id, $body));
}

sub answer_text {
	my ($id, $body) = @_;
	return "HTTP/1.1 200 OK\r\nX-Attempt-Id: $id\r\n" .
		"X-Response-Stamp: stamp.$id\r\nKeep-Alive: timeout=10\r\n" .
		'Content-Length: ' . length($body) . "\r\n\r\n$body";
}

sub ping_later {
	my ($b, $delay) = @_;
	after($delay, sub {
		return if $b->{silent};
		ping($b);
		ping_later($b, $bound{heartbeat});
	});
}

sub ping_body {
	my ($b) = @_;
	return sprintf '{"service":"%s","address":"%s:%d","zone":"%s",' .
		'"version":"v1","slots":%d,"state":"%s","cold_left":"0ms",' .
		'"sequence":%d,"born":%d}', $b->{machine}{service},
		$b->{machine}{ip}, $port{backend}, $b->{machine}{zone},
		$b->{slots}, $b->{state}, ++$b->{sequence}, $b->{born};
}

# ping(backend, ip, port, done): a heartbeat, by default to its own proxy
sub ping {
	my ($b, $ip, $p, $done) = @_;
	my $body = ping_body($b);
	my $sequence = $b->{sequence};
	my $state = $b->{state};
	call($ip // $b->{machine}{ip}, $p // $port{operator}, 'POST',
		"/v1/instances/$b->{id}/heartbeat",
		{ 'Content-Type' => 'application/json' }, $body, sub {
		my ($m, $why) = @_;
		note("ping of $b->{machine}{name} sequence=$sequence state=$state " .
			($m ? "status=$m->{status}" : $why))
			if $state ne 'ready' || !$m || $done;
		$done->($m) if $done;
	});
}

sub deregister {
	my ($b, $done) = @_;
	$b->{silent} = 1;
	my $body = "{\"born\":$b->{born}}";
	call($b->{machine}{ip}, $port{operator}, 'POST',
		"/v1/instances/$b->{id}/deregister",
		{ 'Content-Type' => 'application/json' }, $body, sub {
		my ($m, $why) = @_;
		note("deregister of $b->{machine}{name} " .
			($m ? "status=$m->{status}" : $why));
		$done->($m);
	});
}

# ---- callers

# request(machine, method, host, path, options, done): one request of a client
# at @machine; budget in seconds.  done(answer or undef, how it ended, request)
sub request {
	my ($m, $method, $host, $path, $o, $done) = @_;
	my $id = sprintf '%08x%08x', $$, ++$next_id;
	my $budget = $o->{budget} // 4;
	my $r = { id => $id, sent_at => time, machine => $m->{name} };
	my $body = $o->{body} // '';
	my $length = $method eq 'GET' && $body eq '' ? '' :
		'Content-Length: ' . length($body) . "\r\n";
	my $over = 0;
	my $c;
	my $end = sub {
		my ($a, $why) = @_;
		return if $over++;
		drop($c);
		$r->{ended_at} = time;
		$r->{status} = $a ? $a->{status} : 0;
		note("client $m->{name} $method $path id=$id " . ($a
			? "status=$a->{status} stamp=" .
			  ($a->{field}{'x-response-stamp'} // 'none')
			: "no answer: $why") .
			sprintf(' took=%.3f', $r->{ended_at} - $r->{sent_at}))
			if !$o->{quiet};
		$done->($a, $why, $r) if $done;
	};
	$c = connect_to($m->{ip}, $port{caller},
		data => sub {
			my $a = take_message(\$_[0]{in}) or return;
			($a->{status}) = $a->{first} =~ /^HTTP\/1\.[01] (\d+)/;
			$end->($a, 'answered');
		},
		ended => sub { $end->(undef, $_[1]) });
	$r->{conn} = $c;
	send_on($c, "$method $path HTTP/1.1\r\nHost: $host\r\n" .
		"X-Attempt-Id: $id\r\nX-Deadline-Ms: " . int($budget * 1000) .
		"\r\n" . ($o->{fields} // '') . $length . "\r\n$body");
	after($budget, sub { $end->(undef, 'client gave up') });
	return $r;
}

1;
