//! A thread with one actor, fed through a bounded ring.

use std::thread;
use std::time::Duration;

use crossbeam_channel::Receiver;
use crossbeam_channel::RecvTimeoutError;
use crossbeam_channel::Sender;
use crossbeam_channel::TrySendError;
use snafu::Snafu;

const RING_RETRY_DELAY: Duration = Duration::from_millis(1);

/// Reports that an actor did not take a command.
#[derive(Debug, Snafu)]
pub enum ActorError {
    /// The ring is full; the sender has to slow down.
    #[snafu(display("ring of duty \"{actor}\" is full"))]
    RingFull {
        /// Name of the actor.
        actor: &'static str,
    },
    /// The thread has ended.
    #[snafu(display("duty \"{actor}\" has ended"))]
    Ended {
        /// Name of the actor.
        actor: &'static str,
    },
}

/// What wakes an actor.
pub(crate) enum ActorInput<C> {
    /// A command from the ring.
    Command(C),
    /// The tick interval has passed without a command.
    Tick,
}

/// Sending side of an actor's ring; the thread ends when the last one is dropped.
#[derive(Debug)]
pub struct Actor<C> {
    name: &'static str,
    ring: Sender<C>,
}

impl<C> Clone for Actor<C> {
    fn clone(&self) -> Self {
        Self {
            name: self.name,
            ring: self.ring.clone(),
        }
    }
}

impl<C: Send + 'static> Actor<C> {
    /// Starts a thread that passes each command, and each tick, to `handle`.
    pub(crate) fn spawn<H>(name: &'static str, capacity: usize, tick: Duration, handle: H) -> Self
    where
        H: FnMut(ActorInput<C>) + Send + 'static,
    {
        let (ring, commands) = crossbeam_channel::bounded(capacity);
        thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || run(&commands, tick, handle))
            .expect("the operating system starts a thread for each duty");
        Self { name, ring }
    }

    /// Puts a command into the ring without waiting.
    ///
    /// # Errors
    ///
    /// Fails when the ring is full or the thread has ended.
    pub fn submit(&self, command: C) -> Result<(), ActorError> {
        self.ring.try_send(command).map_err(|error| match error {
            TrySendError::Full(_) => ActorError::RingFull { actor: self.name },
            TrySendError::Disconnected(_) => ActorError::Ended { actor: self.name },
        })
    }

    /// Puts a command into the ring, waiting while it is full; for threads, not for tasks.
    ///
    /// # Errors
    ///
    /// Fails when the thread has ended.
    pub(crate) fn submit_waiting(&self, command: C) -> Result<(), ActorError> {
        self.ring
            .send(command)
            .map_err(|_| ActorError::Ended { actor: self.name })
    }

    /// Puts a command into the ring, trying again while it is full; for tasks, not for threads.
    pub(crate) async fn submit_when_free(&self, command: C) {
        let mut command = command;
        while let Err(returned) = self.submit_or_return(command) {
            command = returned;
            tokio::time::sleep(RING_RETRY_DELAY).await;
        }
    }

    /// Puts a command into the ring without waiting, or gives it back when the ring is full.
    ///
    /// A command for a thread that has ended is dropped: nothing is left to act on it.
    pub(crate) fn submit_or_return(&self, command: C) -> Result<(), C> {
        match self.ring.try_send(command) {
            Err(TrySendError::Full(command)) => Err(command),
            Ok(()) | Err(TrySendError::Disconnected(_)) => Ok(()),
        }
    }
}

fn run<C, H>(commands: &Receiver<C>, tick: Duration, mut handle: H)
where
    H: FnMut(ActorInput<C>),
{
    loop {
        match commands.recv_timeout(tick) {
            Ok(command) => handle(ActorInput::Command(command)),
            Err(RecvTimeoutError::Timeout) => handle(ActorInput::Tick),
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}
