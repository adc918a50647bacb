//! `reachhead operator`: operators and their tokens.

use reachhead_types::{
    fleet::{OperatorRow, RowKey},
    token::{self, TOKEN_SEPARATOR},
};
use serde::Deserialize;

use crate::{
    args::{AddOperatorArgs, OperatorArgs, OperatorCommand},
    client::Client,
    command::{self, CommandError, RowWrite},
    print,
};

/// Runs a subcommand of `reachhead operator`.
pub async fn run(args: &OperatorArgs) -> Result<(), CommandError> {
    let client = Client::for_admin(args.admin)?;
    match &args.command {
        OperatorCommand::Add(add) => add_operator(&client, add).await,
        OperatorCommand::List(_) => print_operators(&client).await,
        OperatorCommand::Remove(remove) => {
            let key = RowKey::Operator(remove.name.clone());
            submit_write(&client, RowWrite { key, value: None, expected: None }).await
        }
    }
}

async fn add_operator(client: &Client, args: &AddOperatorArgs) -> Result<(), CommandError> {
    let name = &args.name;
    let token = format!("{name}{TOKEN_SEPARATOR}{:032x}", rand::random::<u128>());
    let salt = format!("{:016x}", rand::random::<u64>());
    let hash = token::digest(&salt, &token);
    let row = OperatorRow { group: args.group.clone(), salt, hash };
    let value = Some(serde_json::to_value(row)?);
    submit_write(client, RowWrite { key: RowKey::Operator(name.clone()), value, expected: None })
        .await?;
    print::line(&token);
    Ok(())
}

async fn submit_write(client: &Client, write: RowWrite) -> Result<(), CommandError> {
    let version = command::submit_change(client, None, vec![write]).await?;
    // Standard output carries only the token, so that a script can capture it.
    eprintln!("accepted as version {version}");
    Ok(())
}

async fn print_operators(client: &Client) -> Result<(), CommandError> {
    let mut lines = vec![vec!["OPERATOR".to_owned(), "GROUP".to_owned()]];
    for row in command::fetch_rows(client, "operator/").await? {
        let RowKey::Operator(name) = &row.key else {
            continue;
        };
        let operator = OperatorRow::deserialize(&row.value)?;
        let group = operator.group.map_or("(whole tree)".to_owned(), |group| group.to_string());
        lines.push(vec![name.to_string(), group]);
    }
    print::table(&lines);
    Ok(())
}
