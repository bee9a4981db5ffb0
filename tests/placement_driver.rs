//! The driver carries orders to targets and their answers back, or tells that they were lost.

mod placement_fake;

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use fescuebay::ids::{RequestId, Term};
use fescuebay::placement::driver::{Driver, DriverPorts};
use fescuebay::placement::{Action, Event, Planner, Settings};
use fescuebay::target::{Target, call, order};
use futures::FutureExt;
use futures::future::BoxFuture;
use placement_fake::{demand, name, spec};

/// A target that answers or stays silent, and loads at once.
struct Port {
    state: Mutex<order::State>,
    silent_orders: Mutex<u32>,
}

impl Target for Port {
    fn order(&self, order: order::Order) -> BoxFuture<'_, order::Result<order::Reply>> {
        let mut silent = self.silent_orders.lock().unwrap();
        if *silent > 0 {
            *silent -= 1;
            return futures::future::pending().boxed();
        }
        self.state.lock().unwrap().holds.push(order::Held {
            model: order.model,
            version: order.version,
            phase: order::Phase::Loaded,
            memory_bytes: order.memory_bytes,
        });
        async { Ok(order::Reply::Accepted) }.boxed()
    }

    fn state(&self, _: order::Fencing) -> BoxFuture<'_, order::Result<order::State>> {
        let state = self.state.lock().unwrap().clone();
        async { Ok(state) }.boxed()
    }

    fn call(&self, _: call::Attempt) -> BoxFuture<'_, call::Result<call::Answer>> {
        futures::future::pending().boxed()
    }

    fn resume(&self, _: call::Resume) -> BoxFuture<'_, call::Result<call::Answer>> {
        futures::future::pending().boxed()
    }

    fn cancel(&self, _: &RequestId) -> BoxFuture<'_, call::Result<()>> {
        futures::future::pending().boxed()
    }
}

/// Runs a driver before one target and returns the time until its model was ready.
async fn time_to_ready(silent_orders: u32) -> Duration {
    let start = tokio::time::Instant::now();
    let mut fake = placement_fake::Fake::new(0, "andina-a", 80, true);
    let announced = fake.announce();
    let port = Arc::new(Port {
        state: Mutex::new(announced.clone()),
        silent_orders: Mutex::new(silent_orders),
    });
    let decided = Rc::new(RefCell::new(Vec::new()));
    let sink = Rc::clone(&decided);
    let found: Arc<dyn Target> = Arc::clone(&port) as Arc<dyn Target>;
    let ports = DriverPorts {
        lookup: Rc::new(move |_| Some(Arc::clone(&found))),
        sink: Box::new(move |action| sink.borrow_mut().push(action.clone())),
        state_sink: Rc::new(|_| {}),
        now_ms: Rc::new(move || 1_000_000 + start.elapsed().as_millis() as u64),
        call_timeout: Duration::from_millis(2_000),
    };
    let planner = Planner::new(Term(1), Settings::new().takeover_ms(0));
    let planner = Rc::new(RefCell::new(planner));
    let (driver, events) = Driver::new(Rc::clone(&planner), ports);
    let local = tokio::task::LocalSet::new();
    local.spawn_local(driver.run());
    let is_ready = |port: &Port| !port.state.lock().unwrap().holds.is_empty();
    local
        .run_until(async {
            events.send(Event::ModelChanged(Box::new(spec("quill", 14)))).unwrap();
            events.send(Event::TargetAnnounced(announced)).unwrap();
            events.send(demand("d1", "quill", 1, u64::MAX)).unwrap();
            while !is_ready(&port) {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        })
        .await;
    let weights = spec("quill", 14).weights();
    assert!(decided.borrow().contains(&Action::ReplicasDecided { weights, count: 1 }));
    assert_eq!(planner.borrow().ledger().accounts()[0].target, name("runner-0"));
    start.elapsed()
}

#[tokio::test(start_paused = true)]
async fn orders_are_carried_and_an_order_without_an_answer_is_lost() {
    // The first start from the store waits for those of a former leader: 1 s.
    let cases = [(0, 1_000), (1, 3_000), (2, 5_000)];
    for (silent_orders, least_ms) in cases {
        let took_ms = time_to_ready(silent_orders).await.as_millis() as u64;
        let range = least_ms..least_ms + 500;
        assert!(range.contains(&took_ms), "{silent_orders} without an answer: {took_ms} ms");
    }
}
