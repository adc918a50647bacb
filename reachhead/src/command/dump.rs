//! `reachhead dump`: prints a page of a process's ops listener.

use serde_json::Value;

use crate::{args::DumpArgs, client::Client, command::CommandError, print};

/// Prints a page of a process's ops listener; the state is printed as indented JSON.
pub async fn run(args: &DumpArgs) -> Result<(), CommandError> {
    let client = Client::new(args.address);
    let path = format!("/{}", args.page);
    if args.page == "state" {
        let state: Value = client.get(&path).await?;
        print::line(&serde_json::to_string_pretty(&state)?);
    } else {
        print::line(client.get_text(&path).await?.trim_end());
    }
    Ok(())
}
