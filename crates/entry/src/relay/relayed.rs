//! Whether this VM serves a request that another entry VM passes on.

use std::rc::Rc;

use fleet::{Config, Version};
use steer::agreement::{Ruling, Verdict, judge};

use super::headers::Asked;
use crate::dispatch::Origin;
use crate::head::Request;
use crate::response::Refusal;
use crate::serve::decide;
use crate::state::State;

/// Waits until this VM's configuration allows what the VM that passes the request on decided.
///
/// # Errors
///
/// Fails if it allows something else, or if this VM can't take over the later configuration in time.
pub async fn agree(state: &Rc<State>, head: &Request) -> Result<(), Refusal> {
    let asked = Asked::of(head);
    let Some(ruling) = asked.ruling else {
        return Ok(());
    };
    let config = state.config().ok_or(Refusal::Starting)?;
    match judge_here(state, &config, head, ruling) {
        Verdict::Serve => Ok(()),
        Verdict::Ahead => Err(Refusal::Starting),
        Verdict::Behind => {
            catch_up(state, asked.vm, ruling.version).await?;
            let config = state.config().ok_or(Refusal::Starting)?;
            match judge_here(state, &config, head, ruling) {
                Verdict::Serve => Ok(()),
                Verdict::Ahead | Verdict::Behind => Err(Refusal::Starting),
            }
        }
    }
}

fn judge_here(state: &State, config: &Config, head: &Request, ruling: Ruling) -> Verdict {
    let decided = decide(state, config, Origin::Vm, head).ok();
    judge(ruling, config.version, decided)
}

async fn catch_up(state: &State, vm: Option<u64>, version: Version) -> Result<(), Refusal> {
    let addr = vm.and_then(|vm| state.membership.borrow().state_addr(vm));
    let addr = addr.ok_or(Refusal::Starting)?;
    if state.catch_up(addr, version).await {
        Ok(())
    } else {
        Err(Refusal::Starting)
    }
}
