//! Benchmarks of one daemon: target selection, added latency, and requests per second through one
//! listener.
//!
//! Prints one line per result and exits with status 1 if a result misses its bound.

#![allow(unsafe_code)]

use std::alloc::{GlobalAlloc, Layout, System};
use std::hint::black_box;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use axum::Router;
use axum::routing::get;
use fescuebay::ids::{Incarnation, ModelRef, Sequence, ServiceName, TenantId};
use fescuebay::membership::table::{Replica, RouteTable, Standing, TargetEntry};
use fescuebay::routing::choice::{self, TargetRequirements};
use fescuebay::routing::engine::{Destination, EngineSettings, EventContext, RoutingEngine};
use fescuebay::target::{self, order};
use fescuebay::traffic::policy::{EffectivePolicy, Policy, PolicyQuery};
use fescuebay::traffic::{TrafficState, serve, state};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Counts allocations, to check that target selection makes none.
struct CountingAllocator;

static ALLOCATIONS: AtomicU64 = AtomicU64::new(0);

// SAFETY: every call is passed on to the system's allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.fetch_add(1, Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Numbers of targets, models and adapters: the current fleet, an intermediate size, and the size
/// expected in two years.
const SIZES: [(usize, usize, usize); 3] = [(12, 50, 60), (400, 80, 5000), (1500, 110, 31_000)];
const CHOICES: usize = 200_000;
const MAX_CHOICE_P99_NS: u64 = 5_000;
/// The path of the small request, the same at the daemon and at the target.
const PATH: &str = "/services/adoption/donkeys/7";
const CALLS: usize = 3000;
const MAX_ADDED_P50: Duration = Duration::from_micros(300);
const MAX_ADDED_P99: Duration = Duration::from_millis(1);
const LOAD_TIME: Duration = Duration::from_secs(4);
const LOAD_CONNECTIONS: usize = 64;
const MIN_REQUESTS_PER_SECOND: f64 = 15_000.0;

fn main() {
    let mut all_hold = true;
    for (targets, models, adapters) in SIZES {
        all_hold &= measure_choice(targets, models, adapters);
    }
    let runtime = |threads| {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        builder.worker_threads(threads).enable_all().build().expect("a runtime starts")
    };
    let outside = runtime(4);
    let inside = runtime(4);
    all_hold &= measure_added_latency(&outside, &inside);
    all_hold &= measure_throughput(&outside, &inside);
    if !all_hold {
        std::process::exit(1);
    }
}

fn verdict(holds: bool) -> &'static str {
    if holds { "holds" } else { "MISSED" }
}

fn entry(number: usize, replicas: Vec<Replica>, address: SocketAddr) -> TargetEntry {
    TargetEntry {
        software: None,
        target: format!("runner-{number:05}").parse().unwrap(),
        incarnation: Incarnation(1),
        kind: order::Kind::Assistant,
        availability_zone: ["a", "b", "c"][number % 3].parse().unwrap(),
        address,
        standing: Standing::Up,
        slots: 256,
        replicas,
        services: vec!["adoption".parse().unwrap()],
    }
}

/// Each model on one target in ten, at least two; each adapter on two that hold its model.
fn table(targets: usize, models: usize, adapters: usize) -> (RouteTable, Vec<ModelRef>) {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut held: Vec<Vec<Replica>> = vec![Vec::new(); targets];
    let mut all = Vec::new();
    let version: fescuebay::ids::Version = "1".parse().unwrap();
    let add_replica = |held: &mut Vec<Vec<Replica>>, at: usize, model: &ModelRef| {
        held[at].push(Replica { model: model.clone(), version: version.clone() });
    };
    let mut holders = Vec::new();
    for number in 0..models {
        let model: ModelRef = format!("org/model-{number:03}").parse().unwrap();
        let count = (targets / 10).max(2);
        let holder: Vec<usize> = (0..count).map(|_| rng.random_range(0..targets)).collect();
        holder.iter().for_each(|at| add_replica(&mut held, *at, &model));
        holders.push(holder);
        all.push(model);
    }
    for number in 0..adapters {
        let at = number % models;
        let model: ModelRef = format!("{}:tenant-{number:05}", all[at]).parse().unwrap();
        for _ in 0..2 {
            let holder = holders[at][rng.random_range(0..holders[at].len())];
            add_replica(&mut held, holder, &model);
        }
        all.push(model);
    }
    let address = "127.0.0.1:1".parse().unwrap();
    let entries = held.into_iter().enumerate().map(|(number, mut replicas)| {
        replicas.sort();
        replicas.dedup();
        entry(number, replicas, address)
    });
    (RouteTable::new(Sequence(1), entries.collect()), all)
}

/// Measures finding the candidates of a random model or adapter and choosing one.
fn measure_choice(targets: usize, models: usize, adapters: usize) -> bool {
    let (table, names) = table(targets, models, adapters);
    let table = Arc::new(table);
    let mut engine = RoutingEngine::new(EngineSettings::default());
    let mut rng = SmallRng::seed_from_u64(2);
    let mut out = Vec::new();
    let mut cx = EventContext { now_ms: 1000, rng: &mut rng, out: &mut out };
    engine.set_table(&mut cx, table.clone());
    let requirements = TargetRequirements {
        is_long: false,
        long_share: 0.75,
        expected_first_ms: 50.0,
        prefix_holder: None,
        avoided_targets: &[],
    };
    let destinations: Vec<Destination> = names.into_iter().map(Destination::Model).collect();
    let mut times_ns = Vec::with_capacity(CHOICES);
    let mut allocations = 0;
    for _ in 0..CHOICES {
        let destination = &destinations[rng.random_range(0..destinations.len())];
        let before = ALLOCATIONS.load(Ordering::Relaxed);
        let started = Instant::now();
        let candidates = destination.candidates(&table);
        let chosen = choice::choose_target(
            2000,
            engine.targets(),
            candidates,
            &requirements,
            |_| true,
            &mut rng,
        );
        black_box(chosen);
        times_ns.push(started.elapsed().as_nanos() as u64);
        allocations += ALLOCATIONS.load(Ordering::Relaxed) - before;
    }
    times_ns.sort_unstable();
    let at = |share: f64| times_ns[(CHOICES as f64 * share) as usize];
    let holds = at(0.99) < MAX_CHOICE_P99_NS && allocations == 0;
    println!(
        "choice, {targets} targets, {models} models, {adapters} adapters: p50 {} ns, p99 {} ns, \
         {allocations} allocations in {CHOICES} ({})",
        at(0.5),
        at(0.99),
        verdict(holds)
    );
    holds
}

struct AllowAll;

impl Policy for AllowAll {
    fn authenticate(&self, _token: Option<&str>) -> Option<TenantId> {
        Some("santuario".parse().unwrap())
    }

    fn effective_policy(&self, _query: &PolicyQuery) -> EffectivePolicy {
        let mut effective = EffectivePolicy::with_defaults("lookup".parse().unwrap());
        (effective.max_in_flight, effective.max_waiting) = (10_000, 10_000);
        effective
    }

    fn is_model_configured(&self, _model: &ModelRef) -> bool {
        true
    }

    fn is_service_configured(&self, _service: &ServiceName) -> bool {
        true
    }

    fn models(&self) -> Vec<ModelRef> {
        Vec::new()
    }
}

/// Starts a target that responds with a few bytes immediately.
async fn start_small_target() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    let answer = get(|| async { r#"{"name":"Paloma","age":7}"# });
    let routes = Router::new().route(PATH, answer);
    tokio::spawn(async move { axum::serve(listener, routes).await });
    address
}

/// Starts a daemon in front of HTTP targets and returns its address.
async fn start_daemon(targets: Vec<SocketAddr>) -> SocketAddr {
    let entries: Vec<TargetEntry> = targets
        .into_iter()
        .enumerate()
        .map(|(number, address)| entry(number, vec![], address))
        .collect();
    let own_ip = "127.0.0.1".parse().unwrap();
    let ports: Vec<(SocketAddr, Arc<dyn target::Target>)> = entries
        .iter()
        .map(|entry| {
            let port =
                target::http::Http::new(entry.target.clone(), entry.address, own_ip, String::new());
            (entry.address, Arc::new(port) as Arc<dyn target::Target>)
        })
        .collect();
    let lookup: state::TargetResolver = Arc::new(move |entry: &TargetEntry| {
        let found = ports.iter().find(|(address, _)| *address == entry.address);
        found.expect("every entry has a port").1.clone()
    });
    let table = Arc::new(ArcSwap::from_pointee(RouteTable::new(Sequence(1), entries)));
    let shared = TrafficState::builder(table, lookup, Arc::new(AllowAll)).build();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(serve(listener, shared, std::future::pending()));
    address
}

/// A caller that repeats one request over one connection.
struct Caller {
    stream: TcpStream,
    request: Vec<u8>,
    buffer: Vec<u8>,
}

impl Caller {
    async fn new(address: SocketAddr, path: &str) -> Self {
        let stream = TcpStream::connect(address).await.expect("it listens");
        stream.set_nodelay(true).expect("it is a TCP connection");
        let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n").into_bytes();
        Self { stream, request, buffer: vec![0; 4096] }
    }

    /// Sends the request and reads the complete response.
    async fn request(&mut self) {
        self.stream.write_all(&self.request).await.expect("the connection lives");
        let mut filled = 0;
        loop {
            let read = self.stream.read(&mut self.buffer[filled..]).await.expect("it lives");
            assert!(read > 0, "closed after {:?}", String::from_utf8_lossy(&self.buffer[..filled]));
            filled += read;
            if self.buffer[..filled].ends_with(b"\"age\":7}") {
                assert!(self.buffer.starts_with(b"HTTP/1.1 200"), "it was refused");
                return;
            }
        }
    }
}

fn quantiles(mut times: Vec<Duration>) -> (Duration, Duration) {
    times.sort_unstable();
    (times[times.len() / 2], times[times.len() * 99 / 100])
}

/// Measures the latency that a daemon adds to a small request, alternating with direct requests.
fn measure_added_latency(
    outside: &tokio::runtime::Runtime,
    inside: &tokio::runtime::Runtime,
) -> bool {
    let target = outside.block_on(start_small_target());
    let daemon = inside.block_on(start_daemon(vec![target]));
    let (direct, through) = outside.block_on(async {
        let mut direct = Caller::new(target, PATH).await;
        let mut through = Caller::new(daemon, PATH).await;
        let (mut direct_times, mut through_times) = (Vec::new(), Vec::new());
        for round in 0..CALLS + 200 {
            let started = Instant::now();
            direct.request().await;
            let middle = Instant::now();
            through.request().await;
            if round >= 200 {
                direct_times.push(middle - started);
                through_times.push(middle.elapsed());
            }
        }
        (quantiles(direct_times), quantiles(through_times))
    });
    let p50 = through.0.saturating_sub(direct.0);
    let p99 = through.1.saturating_sub(direct.1);
    let holds = p50 < MAX_ADDED_P50 && p99 < MAX_ADDED_P99;
    println!(
        "small call: direct p50 {:?} p99 {:?}, through the daemon p50 {:?} p99 {:?}, \
         added p50 {p50:?} p99 {p99:?} ({})",
        direct.0,
        direct.1,
        through.0,
        through.1,
        verdict(holds)
    );
    holds
}

/// Measures small requests per second through one daemon on four threads.
fn measure_throughput(outside: &tokio::runtime::Runtime, inside: &tokio::runtime::Runtime) -> bool {
    let targets =
        outside.block_on(async { vec![start_small_target().await, start_small_target().await] });
    let daemon = inside.block_on(start_daemon(targets));
    let allocations = ALLOCATIONS.load(Ordering::Relaxed);
    let started = Instant::now();
    let answered = outside.block_on(async {
        let callers = (0..LOAD_CONNECTIONS).map(|_| {
            tokio::spawn(async move {
                let mut caller = Caller::new(daemon, PATH).await;
                let mut answered = 0_u64;
                while started.elapsed() < LOAD_TIME {
                    caller.request().await;
                    answered += 1;
                }
                answered
            })
        });
        let mut answered = 0;
        for caller in callers.collect::<Vec<_>>() {
            answered += caller.await.expect("no caller fails");
        }
        answered
    });
    let per_second = answered as f64 / started.elapsed().as_secs_f64();
    let allocations = ALLOCATIONS.load(Ordering::Relaxed) - allocations;
    let holds = per_second >= MIN_REQUESTS_PER_SECOND;
    println!(
        "small requests through one daemon on 4 threads, {LOAD_CONNECTIONS} connections: \
         {per_second:.0} a second, {:.0} allocations each in daemon, target and caller ({})",
        allocations as f64 / answered as f64,
        verdict(holds)
    );
    holds
}
