//! The way from the traffic threads to the control thread.
//!
//! Control state lives on one thread and is not `Send`. A [`Bridge`] sends it closures, which run
//! there one after the other up to their first wait, and carries their results back.

use std::rc::Rc;

use futures::future::LocalBoxFuture;
use tokio::sync::{mpsc, oneshot};

use crate::daemon::core::Core;

/// Closures that may wait for the control thread. More make their senders wait.
const QUEUE_LENGTH: usize = 8_192;

type Task = Box<dyn FnOnce(Rc<Core>) -> LocalBoxFuture<'static, ()> + Send>;

/// Runs closures on the control thread.
#[derive(Clone)]
pub struct Bridge {
    sender: mpsc::Sender<Task>,
}

/// The control thread's end of a bridge.
pub struct Receiver {
    receiver: mpsc::Receiver<Task>,
}

/// Makes a bridge and its end.
pub fn new() -> (Bridge, Receiver) {
    let (sender, receiver) = mpsc::channel(QUEUE_LENGTH);
    (Bridge { sender }, Receiver { receiver })
}

impl Bridge {
    /// Runs `task` on the control thread. `None` means that the thread has ended, or ended before
    /// the result was there.
    pub async fn run<T, F>(&self, task: F) -> Option<T>
    where
        T: Send + 'static,
        F: FnOnce(Rc<Core>) -> LocalBoxFuture<'static, T> + Send + 'static,
    {
        let (sender, receiver) = oneshot::channel();
        let task: Task = Box::new(move |core| {
            Box::pin(async move {
                let _ = sender.send(task(core).await);
            })
        });
        self.sender.send(task).await.ok()?;
        receiver.await.ok()
    }

    /// Runs `task` on the control thread if its queue has room, without waiting for it.
    ///
    /// For hints alone: a hint that finds the queue full is dropped.
    pub fn hint<F>(&self, task: F) -> bool
    where
        F: FnOnce(Rc<Core>) -> LocalBoxFuture<'static, ()> + Send + 'static,
    {
        self.sender.try_send(Box::new(task)).is_ok()
    }
}

impl Receiver {
    /// Runs the closures on the current `LocalSet` until all bridges are dropped.
    pub async fn serve(mut self, core: Rc<Core>) {
        while let Some(task) = self.receiver.recv().await {
            tokio::task::spawn_local(task(Rc::clone(&core)));
        }
    }
}
