//! Sends the planner's orders and state reads to targets, and returns the replies to the planner.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;

use crate::ids::TargetId;
use crate::placement::planner::{Action, Event, Planner};
use crate::target;
use crate::target::order;

/// Looks up the connection to a target.
pub type TargetLookup = Rc<dyn Fn(&TargetId) -> Option<Arc<dyn target::Target>>>;

/// Receives the planner's other actions: replica counts, expected ready times, failed models.
pub type ActionSink = Box<dyn FnMut(&Action)>;

/// Receives the states that targets return to state reads.
pub type StateSink = Rc<dyn Fn(&order::State)>;

/// Functions of the daemon that a driver calls.
pub struct DriverPorts {
    /// Looks up the connection to a target.
    pub lookup: TargetLookup,
    /// Receives every action that is neither an order nor a state read.
    pub sink: ActionSink,
    /// Receives every state that was read, before the planner does.
    pub state_sink: StateSink,
    /// The Unix time in milliseconds.
    pub now_ms: Rc<dyn Fn() -> u64>,
    /// Timeout of an order or state read.
    pub call_timeout: Duration,
}

/// Runs one planner on the control thread, inside a `LocalSet`.
pub struct Driver {
    planner: Rc<RefCell<Planner>>,
    ports: DriverPorts,
    events: mpsc::UnboundedReceiver<Event>,
    sender: mpsc::UnboundedSender<Event>,
}

impl Driver {
    /// Creates a driver, and the channel for events of its planner.
    ///
    /// The planner is shared so that reports can read it; only the driver passes events to it.
    pub fn new(
        planner: Rc<RefCell<Planner>>,
        ports: DriverPorts,
    ) -> (Self, mpsc::UnboundedSender<Event>) {
        let (sender, events) = mpsc::unbounded_channel();
        (Self { planner, ports, events, sender: sender.clone() }, sender)
    }

    /// Runs until its future is dropped, which must happen when leadership ends. An order already
    /// sent either reaches its target before it expires or has no effect.
    pub async fn run(mut self) {
        let mut event = Event::Tick;
        loop {
            let now_ms = (self.ports.now_ms)();
            let actions = self.planner.borrow_mut().handle_event(now_ms, event);
            for action in actions {
                self.dispatch(action);
            }
            event = self.next_event().await;
        }
    }

    async fn next_event(&mut self) -> Event {
        let wake_ms = self.planner.borrow().wake_ms();
        let Some(wake_ms) = wake_ms else {
            return self.events.recv().await.unwrap_or(Event::Tick);
        };
        let wait_ms = wake_ms.saturating_sub((self.ports.now_ms)());
        let event = tokio::time::timeout(Duration::from_millis(wait_ms), self.events.recv());
        event.await.ok().flatten().unwrap_or(Event::Tick)
    }

    fn dispatch(&mut self, action: Action) {
        match action {
            Action::SendOrder { target, order } => self.send(target, order),
            Action::ReadState { target, fencing } => self.read_state(target, fencing),
            Action::ReplicasDecided { .. }
            | Action::ExpectReady { .. }
            | Action::CannotLoad { .. } => {
                (self.ports.sink)(&action);
            }
        }
    }

    fn send(&self, target: TargetId, order: order::Order) {
        let port = (self.ports.lookup)(&target);
        let timeout = self.ports.call_timeout;
        let sender = self.sender.clone();
        tokio::task::spawn_local(async move {
            let order_id = order.order_id.clone();
            let event =
                match call_with_timeout(timeout, port.as_ref().map(|port| port.order(order))).await
                {
                    Some(reply) => Event::OrderAnswered { target, order_id, reply },
                    None => Event::OrderLost { target, order_id },
                };
            let _ = sender.send(event);
        });
    }

    fn read_state(&self, target: TargetId, fencing: order::Fencing) {
        let port = (self.ports.lookup)(&target);
        let timeout = self.ports.call_timeout;
        let sender = self.sender.clone();
        let state_sink = self.ports.state_sink.clone();
        tokio::task::spawn_local(async move {
            let event =
                match call_with_timeout(timeout, port.as_ref().map(|port| port.state(fencing)))
                    .await
                {
                    Some(state) => {
                        state_sink(&state);
                        Event::StateRead { fencing, state }
                    }
                    None => Event::StateReadFailed { target, fencing },
                };
            let _ = sender.send(event);
        });
    }
}

/// Returns the response, or `None` without a connection, on failure or after `timeout`.
async fn call_with_timeout<T>(
    timeout: Duration,
    call: Option<impl Future<Output = order::Result<T>>>,
) -> Option<T> {
    tokio::time::timeout(timeout, call?).await.ok()?.ok()
}
