//! `explain`: explains where a caller's requests would go and why.

use crate::cli::ExplainArgs;
use crate::command::diff;
use crate::config::Config;
use crate::exit::Exit;
use crate::explain::{Explanation, Query};
use crate::fleet::Fleet;
use crate::output::Output;
use crate::platform::Platform;

/// Explains where the requests in `args` would go.
pub fn run(args: &ExplainArgs, config: &Config, output: Output) -> eyre::Result<Exit> {
    let platform = Platform::new(config)?;
    let text = diff::in_force(&platform.current()?)?.text;
    let listed = platform.vms().unwrap_or_default();
    let vms = Fleet::new(config, &listed)?.survey(&listed);
    let query = Query {
        client: args.client,
        service: &args.service,
        workspace: args.workspace.as_deref(),
    };
    output.report(&Explanation::new(&text, &vms, &query))?;
    Ok(Exit::Done)
}
