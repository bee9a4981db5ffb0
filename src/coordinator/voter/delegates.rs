//! Delegates send orders to engines: at the leader, who sends each order; at a delegate, whether it may.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::Duration;

use futures::future::LocalBoxFuture;

use super::Voter;
use crate::clock::BootClock;
use crate::control::{commands, delegates, orders};
use crate::coordinator::SendCheck;
use crate::coordinator::client::RequestError;
use crate::coordinator::delegates::book::{Book, Route};
use crate::coordinator::delegates::{CONTACT_VALID_MS, ContactId, ORDER_TIMEOUT_MS, Permit};
use crate::coordinator::leader::{Leader, OrderRoute};
use crate::coordinator::message::{Reply, Request};
use crate::ids::{DaemonId, Term};
use crate::placement::swap::{Order, OrderReply};

/// Interval between two contacts with a delegate that answers: twice within the time for which one is valid.
const CONTACT_INTERVAL_MS: u64 = 400;
/// Time after an election in which a voter may not have heard of it, and pause before it is asked again.
const HEAR_TIMEOUT_MS: u64 = 300;
const HEAR_PAUSE: Duration = Duration::from_millis(20);
/// Timeout of a contact.
const CONTACT_TIMEOUT_MS: u64 = 300;
/// Interval between two checks of all delegates.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which a leader that need not wait for earlier orders waits for voters to answer, before it deals the
/// engines to those that did.
const DEAL_TIMEOUT_MS: u64 = 500;
/// Timeout of an order at a delegate, with the way there and back.
const PASS_TIMEOUT_MS: u64 = ORDER_TIMEOUT_MS + 300;
/// Pause before a failed record is tried again.
const RECORD_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Pause before leadership is offered to another voter, longer than an election takes.
const TRANSFER_RETRY_PAUSE: Duration = Duration::from_millis(1_500);

/// The orders of one leader that delegates send.
pub(super) struct DelegatedOrders {
    voter: Weak<Voter>,
    clock: BootClock,
    /// When this daemon began to lead.
    since_ms: u64,
    book: RefCell<Book>,
    /// Orders that were passed on and are not answered.
    passed_count: Cell<usize>,
}

impl OrderRoute for Rc<DelegatedOrders> {
    fn send(&self, order: Order) -> LocalBoxFuture<'static, OrderReply> {
        let Some(voter) = self.voter.upgrade() else {
            return Box::pin(std::future::ready(OrderReply::Conflict));
        };
        let lease_left_ms = voter.lease_left_ms().unwrap_or(0);
        let route = self.book.borrow_mut().route(self.clock.now_ms(), lease_left_ms, &order.target);
        let Route::Via(daemon, permit) = route else {
            log::info!("order {} to {} is held back: no delegate", order.ticket, order.target);
            return Box::pin(std::future::ready(OrderReply::Conflict));
        };
        let passed = PassedOrder::new(Rc::clone(self));
        Box::pin(async move {
            let ticket = order.ticket;
            let request = Request::SendOrder(permit, Box::new(order));
            let answered = voter.client.ask(&daemon, request, PASS_TIMEOUT_MS).await;
            let (reply, outcome) = match &answered {
                Ok(Reply::SentOrder(Some(reply))) => (*reply, "sent"),
                Err(RequestError::Unknown) => (OrderReply::Lost, "lost"),
                Ok(_) | Err(RequestError::NotSent) => (OrderReply::Conflict, "not_sent"),
            };
            if outcome == "lost" {
                passed.hold(CONTACT_VALID_MS);
            }
            let labels = [("delegate", daemon.to_string()), ("outcome", outcome.to_owned())];
            metrics::counter!("fescuebay_delegated_orders_total", &labels).increment(1);
            if outcome != "sent" {
                log::warn!(
                    delegate:% = daemon, contact_valid_ms = permit.valid_ms;
                    "order {ticket} over delegate {daemon}: {outcome}"
                );
            }
            reply
        })
    }
}

impl DelegatedOrders {
    /// Whether the senders of orders are on record.
    pub(super) fn has_slots(&self) -> bool {
        !self.book.borrow().slots().is_empty()
    }
}

/// Counts an order that was passed on until it is dropped.
struct PassedOrder {
    orders: Rc<DelegatedOrders>,
}

impl PassedOrder {
    fn new(orders: Rc<DelegatedOrders>) -> Self {
        orders.passed_count.set(orders.passed_count.get() + 1);
        Self { orders }
    }

    /// Goes on counting an order that a delegate may send until its permit ends.
    fn hold(self, for_ms: u64) {
        tokio::task::spawn_local(async move {
            tokio::time::sleep(Duration::from_millis(for_ms)).await;
            drop(self);
        });
    }
}

impl Drop for PassedOrder {
    fn drop(&mut self) {
        self.orders.passed_count.set(self.orders.passed_count.get() - 1);
    }
}

impl Voter {
    /// Starts contacts with delegates, if orders are sent by them.
    pub(super) fn contact_delegates(
        self: &Rc<Self>,
        leader: &Rc<Leader>,
    ) -> Option<Rc<DelegatedOrders>> {
        if !self.is_delegating() {
            return None;
        }
        let machine = Rc::clone(&self.machine.borrow());
        let (is_marked, slots) = {
            let machine = machine.borrow();
            let state = machine.state();
            let is_marked = state.orders.giver() == Some(&delegates::sender_mark());
            (is_marked, state.delegates.slots().to_vec())
        };
        let slots = if is_marked { slots } else { Vec::new() };
        let clock = self.config.clock;
        let book = Book::new(leader.term(), clock.now_ms(), self.config.takeover_ms, slots);
        let delegated = Rc::new(DelegatedOrders {
            voter: Rc::downgrade(self),
            clock,
            since_ms: clock.now_ms(),
            book: RefCell::new(book),
            passed_count: Cell::new(0),
        });
        self.delegated.replace(Some(Rc::clone(&delegated)));
        let contacting = Rc::clone(self).keep_contacts(Rc::clone(leader), Rc::clone(&delegated));
        tokio::task::spawn_local(contacting);
        Some(delegated)
    }

    /// Whether delegates send the orders of this daemon if it leads.
    fn is_delegating(&self) -> bool {
        self.config.delegate_orders && !self.config.checks_fencing
    }

    /// This daemon sends all orders of its term itself.
    pub(super) fn send_orders_alone(&self, delegated: &Rc<DelegatedOrders>) {
        self.delegated.borrow_mut().take_if(|known| Rc::ptr_eq(known, delegated));
    }

    fn is_current(&self, leader: &Leader, delegated: &Rc<DelegatedOrders>) -> bool {
        let current = self.delegated.borrow();
        !leader.is_stopped() && current.as_ref().is_some_and(|known| Rc::ptr_eq(known, delegated))
    }

    /// Contacts all voters again and again while this leader leads: any of them can become a delegate.
    async fn keep_contacts(self: Rc<Self>, leader: Rc<Leader>, delegated: Rc<DelegatedOrders>) {
        let mut asked: Vec<(DaemonId, u64)> = Vec::new();
        while self.is_current(&leader, &delegated) {
            let now_ms = self.config.clock.now_ms();
            let voters = self.voters();
            asked.retain(|(_, at_ms)| now_ms < at_ms + CONTACT_INTERVAL_MS);
            for voter in voters {
                if asked.iter().all(|(known, _)| *known != voter) {
                    asked.push((voter.clone(), now_ms));
                    let contact =
                        Rc::clone(&self).contact(Rc::clone(&leader), Rc::clone(&delegated), voter);
                    tokio::task::spawn_local(contact);
                }
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Contacts a voter, again right after the election if it has not heard of that yet.
    async fn contact(
        self: Rc<Self>,
        leader: Rc<Leader>,
        delegated: Rc<DelegatedOrders>,
        voter: DaemonId,
    ) {
        let end_ms = delegated.since_ms + HEAR_TIMEOUT_MS;
        loop {
            let request = Request::Delegate(leader.term());
            let answered = self.client.ask(&voter, request, CONTACT_TIMEOUT_MS).await;
            if !self.is_current(&leader, &delegated) {
                return;
            }
            let now_ms = self.config.clock.now_ms();
            if let Ok(Reply::Delegate(Some(contact))) = answered {
                let is_voter = self.voters().contains(&voter);
                if is_voter {
                    delegated.book.borrow_mut().record_contact(now_ms, &voter, contact);
                    self.publish_closed(&leader, &delegated);
                }
                return;
            }
            if now_ms >= end_ms {
                return;
            }
            tokio::time::sleep(HEAR_PAUSE).await;
        }
    }

    fn publish_closed(&self, leader: &Leader, delegated: &DelegatedOrders) {
        let closed = delegated.book.borrow().closed(self.config.clock.now_ms());
        metrics::gauge!("fescuebay_order_slots_closed").set(f64::from(closed.count()));
        leader.close_slots(closed);
    }

    /// Deals the engines to the voters that answer and puts that on record, once all earlier orders have ended.
    /// Returns whether delegates send the orders from now on.
    pub(super) async fn deal_slots(
        &self,
        leader: &Rc<Leader>,
        delegated: &Rc<DelegatedOrders>,
    ) -> bool {
        let end_ms = self.config.clock.now_ms() + DEAL_TIMEOUT_MS;
        let slots = loop {
            let now_ms = self.config.clock.now_ms();
            let voters = self.voters();
            let slots = delegated.book.borrow().deal(now_ms, &voters);
            let has_all = slots.as_ref().is_some_and(|s| voters.iter().all(|v| s.contains(v)));
            if has_all || now_ms >= end_ms {
                break slots;
            }
            if !self.is_current(leader, delegated) {
                return false;
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        };
        let Some(slots) = slots else { return false };
        let mark = commands::Command::Orders(orders::Command { giver: delegates::sender_mark() });
        let dealt = commands::Command::Delegates(delegates::Command { slots: slots.clone() });
        // The mark goes first: a leader that finds the mark without a list waits for all orders to end.
        for command in [mark, dealt] {
            while !self.record(command.clone()).await {
                if !self.is_current(leader, delegated) {
                    return true;
                }
                tokio::time::sleep(RECORD_RETRY_PAUSE).await;
            }
        }
        log::info!(slots:? = slots, term = leader.term().0; "engines are dealt to delegates");
        delegated.book.borrow_mut().finish_move(slots);
        true
    }

    /// Has delegates send the orders of a leader until it stops.
    pub(super) async fn run_delegates(
        self: &Rc<Self>,
        leader: Rc<Leader>,
        delegated: Rc<DelegatedOrders>,
    ) {
        if !self.is_current(&leader, &delegated) {
            return;
        }
        leader.route_orders(Rc::new(Rc::clone(&delegated)));
        self.publish_closed(&leader, &delegated);
        self.hear_targets(&leader, &delegated).await;
        leader.allow_orders();
        let mut lost_before: Vec<DaemonId> = Vec::new();
        while self.is_current(&leader, &delegated) {
            self.publish_closed(&leader, &delegated);
            let lost = delegated.book.borrow().lost(self.config.clock.now_ms());
            log_lost(&lost_before, &lost, leader.term());
            lost_before = lost.into_iter().map(|(daemon, _)| daemon).collect();
            self.move_slots(&leader, &delegated).await;
            if delegated.book.borrow().needs_new_term() {
                self.start_new_term(&leader, &delegated).await;
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Waits until most targets have announced themselves, for one and a half intervals of their announcements at
    /// most: targets suspected after three of them may have been lost together with the leader.
    async fn hear_targets(&self, leader: &Leader, delegated: &Rc<DelegatedOrders>) {
        let end_ms = delegated.since_ms + self.config.silence_timeouts.suspect_ms / 2;
        let clock = self.config.clock;
        while self.is_current(leader, delegated)
            && !leader.has_heard_most()
            && clock.now_ms() < end_ms
        {
            tokio::time::sleep(HEAR_PAUSE).await;
        }
    }

    /// Moves the engines of lost delegates whose orders have ended.
    async fn move_slots(&self, leader: &Rc<Leader>, delegated: &Rc<DelegatedOrders>) {
        let now_ms = self.config.clock.now_ms();
        let begun = delegated.book.borrow_mut().begin_move(now_ms, &self.voters());
        let Some(slots) = begun else { return };
        let before = delegated.book.borrow().slots().to_vec();
        while self.is_current(leader, delegated) {
            let moved = delegates::Command { slots: slots.clone() };
            if self.record(commands::Command::Delegates(moved)).await {
                log::info!(
                    before:? = before, slots:? = slots, term = leader.term().0;
                    "engines of lost delegates have moved to others"
                );
                metrics::counter!("fescuebay_order_slots_moved_total").increment(1);
                delegated.book.borrow_mut().finish_move(slots);
                return self.publish_closed(leader, delegated);
            }
            tokio::time::sleep(RECORD_RETRY_PAUSE).await;
        }
    }

    /// Hands leadership over, so that engines which moved get orders under another fencing number than those
    /// of their lost delegate.
    async fn start_new_term(&self, leader: &Rc<Leader>, delegated: &Rc<DelegatedOrders>) {
        let Some(node) = self.node.borrow().clone() else { return };
        let own = self.config.own_id.clone();
        let mut others = node.status().core.membership.voters;
        others.retain(|voter| voter.daemon != own);
        others.sort_by_key(|voter| node.silent_ms(voter).unwrap_or(u64::MAX));
        self.drain_orders().await;
        // A leader that has offered leadership has given up its lease, so it goes on until one takes it.
        for next in others.iter().cycle() {
            if !self.is_current(leader, delegated) {
                return;
            }
            log::info!(
                term = leader.term().0;
                "leadership goes to {next}: engines of a lost delegate need orders of another term"
            );
            if let Err(report) = node.transfer(next.clone()) {
                log::warn!("leadership transfer failed: {report}");
            }
            tokio::time::sleep(TRANSFER_RETRY_PAUSE).await;
        }
        delegated.book.borrow_mut().stop_draining();
    }

    /// Passes on no more orders, and waits until those that were passed on are answered or cannot be sent any
    /// more. The next leader relies on that if this one gives up its lease early.
    pub(super) async fn drain_orders(&self) {
        let Some(delegated) = self.delegated.borrow().clone() else { return };
        delegated.book.borrow_mut().drain();
        let clock = self.config.clock;
        let end_ms = clock.now_ms() + CONTACT_VALID_MS;
        while delegated.passed_count.get() > 0 && clock.now_ms() < end_ms {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Promises the leader of `term` to send nothing for earlier terms. `None` unless this voter follows it.
    pub(super) fn promise_orders(&self, from: &DaemonId, term: Term) -> Option<ContactId> {
        if !self.is_delegating() || !self.follows(from, term) {
            return None;
        }
        self.sender.borrow_mut().promise(self.config.clock.now_ms(), term)
    }

    /// Whether `from` leads in `term`, and no later term is known.
    fn follows(&self, from: &DaemonId, term: Term) -> bool {
        let Some(node) = self.node.borrow().clone() else { return false };
        let core = node.status().core;
        core.term == term && core.leader.is_some_and(|leader| leader.daemon == *from)
    }

    /// Sends an order for the leader. `None` if it was not sent and never will be.
    pub(super) async fn send_for_leader(
        self: &Rc<Self>,
        from: &DaemonId,
        permit: Permit,
        order: Order,
    ) -> Option<OrderReply> {
        let now_ms = self.config.clock.now_ms();
        let is_permitted = self.is_delegating()
            && order.fencing == permit.term
            && self.follows(from, permit.term)
            && self.sender.borrow_mut().begin(now_ms, &permit, &order.target);
        if !is_permitted {
            log::warn!(term = permit.term.0; "order to {} is refused: no permit", order.target);
            return None;
        }
        let check: SendCheck = {
            let (voter, from) = (Rc::downgrade(self), from.clone());
            Rc::new(move || voter.upgrade().is_some_and(|voter| voter.may_send(&from, &permit)))
        };
        // The order outlives the connection to the leader: it counts as under way until it has ended.
        let voter = Rc::clone(self);
        let sending = tokio::task::spawn_local(async move {
            let target = order.target.clone();
            let own = voter.config.own_id.clone();
            let reply = voter.config.engines.send_checked_order(own, order, check).await;
            voter.sender.borrow_mut().end(&permit, &target);
            reply
        });
        sending.await.unwrap_or(Some(OrderReply::Lost))
    }

    fn may_send(&self, from: &DaemonId, permit: &Permit) -> bool {
        let now_ms = self.config.clock.now_ms();
        self.follows(from, permit.term) && self.sender.borrow().is_permitted(now_ms, permit)
    }
}

fn log_lost(before: &[DaemonId], lost: &[(DaemonId, u64)], term: Term) {
    for (daemon, silent_ms) in lost.iter().filter(|(daemon, _)| !before.contains(daemon)) {
        log::warn!(
            delegate:% = daemon, silent_ms = silent_ms, term = term.0;
            "delegate {daemon} is lost: its engines get no orders"
        );
    }
    let is_back = |daemon: &&DaemonId| lost.iter().all(|(known, _)| known != *daemon);
    for daemon in before.iter().filter(is_back) {
        log::info!(delegate:% = daemon, term = term.0; "delegate {daemon} is not lost any more");
    }
}
