//! Actors: threads that each own some state and receive commands through a bounded ring.

use std::thread;
use std::time::Duration;

use crossbeam_channel::Receiver;
use crossbeam_channel::RecvTimeoutError;
use crossbeam_channel::Sender;
use crossbeam_channel::TrySendError;
use snafu::Snafu;

const RING_RETRY_DELAY: Duration = Duration::from_millis(1);

/// Error for a command that an actor did not accept.
#[derive(Debug, Snafu)]
pub enum ActorError {
    /// The ring is full; the sender has to reduce its rate.
    #[snafu(display("ring of actor \"{actor}\" is full"))]
    RingFull {
        /// Name of the actor.
        actor: &'static str,
    },
    /// The thread has ended.
    #[snafu(display("actor \"{actor}\" has ended"))]
    Ended {
        /// Name of the actor.
        actor: &'static str,
    },
}

/// Input of an actor.
pub(crate) enum ActorInput<C> {
    /// A command from the ring.
    Command(C),
    /// No command arrived within the tick interval.
    Tick,
}

/// Handle of an actor, which sends commands to its ring. The thread ends when the last handle is
/// dropped.
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
    /// Starts a thread that passes each command and tick to `handle`.
    pub(crate) fn spawn<H>(name: &'static str, capacity: usize, tick: Duration, handle: H) -> Self
    where
        H: FnMut(ActorInput<C>) + Send + 'static,
    {
        let (ring, commands) = crossbeam_channel::bounded(capacity);
        thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || run(&commands, tick, handle))
            .expect("the operating system starts a thread for each actor");
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

    /// Puts a command into the ring, blocking the thread while it is full; not for async tasks.
    ///
    /// # Errors
    ///
    /// Fails when the thread has ended.
    pub(crate) fn submit_waiting(&self, command: C) -> Result<(), ActorError> {
        self.ring
            .send(command)
            .map_err(|_| ActorError::Ended { actor: self.name })
    }

    /// Puts a command into the ring, retrying while it is full; for async tasks. A command for a
    /// thread that has ended is dropped.
    pub(crate) async fn submit_when_free(&self, command: C) {
        let mut command = command;
        while let Err(returned) = self.submit_or_return(command) {
            command = returned;
            tokio::time::sleep(RING_RETRY_DELAY).await;
        }
    }

    /// Puts a command into the ring without waiting, or returns it as the error when the ring is
    /// full.
    ///
    /// A command for a thread that has ended is dropped, because no receiver is left.
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
