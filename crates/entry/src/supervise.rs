//! Tasks that run as long as the process: one that fails is started again.
//!
//! A panic ends its task alone. Without supervision the process would live on and look healthy, but no
//! longer follow the store, or no longer accept connections. The cause may be in what all entry VMs read, so
//! ending the process would end the service everywhere at once: this VM serves on with what it knows, logs
//! the failure, and tries again.

use std::any::Any;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use std::time::{Duration, Instant};

use event::Event;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::state::State;

/// Pause before the first restart of a task.
const MIN_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause before a restart.
const MAX_PAUSE: Duration = Duration::from_secs(8);

/// Time without a failure after which the pause is [`MIN_PAUSE`] again.
const STABLE_AFTER: Duration = Duration::from_mins(1);

/// Longest description of a failure in the log, in bytes. It may quote what was read.
const MAX_ERROR_BYTES: usize = 300;

/// Runs the task that `start` creates, and creates it anew whenever it fails. `task` is its name in the
/// log.
pub fn keep_running<F>(
    state: &Rc<State>,
    task: &'static str,
    start: impl Fn(Rc<State>) -> F + 'static,
) where
    F: Future<Output = ()> + 'static,
{
    let state = Rc::clone(state);
    spawn_local(async move {
        let mut pause = MIN_PAUSE;
        loop {
            let started = Instant::now();
            let Err(error) = spawn_local(start(Rc::clone(&state))).await else {
                return;
            };
            // A task is cancelled only when the process ends.
            let Ok(panic) = error.try_into_panic() else {
                return;
            };
            if started.elapsed() >= STABLE_AFTER {
                pause = MIN_PAUSE;
            }
            state.metrics.note_task_failure(task);
            event::emit(&Event::TaskFailed {
                task: task.to_owned(),
                error: description(&*panic),
            });
            sleep(pause).await;
            pause = (pause * 2).min(MAX_PAUSE);
        }
    });
}

/// Calls `action` as a part of `task`.
///
/// # Errors
///
/// Fails with a description of the failure if it panics. What `action` changed until then stays.
pub fn guard(state: &State, task: &'static str, action: impl FnOnce()) -> Result<(), String> {
    let done = catch_unwind(AssertUnwindSafe(action));
    done.map_err(|panic| {
        state.metrics.note_task_failure(task);
        description(&*panic)
    })
}

fn description(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().copied();
    let text = text.or_else(|| panic.downcast_ref::<String>().map(String::as_str));
    let text = text.unwrap_or("unknown");
    text[..text.floor_char_boundary(MAX_ERROR_BYTES)].to_owned()
}

#[cfg(test)]
mod tests;
