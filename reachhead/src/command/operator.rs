//! `reachhead operator`.

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

/// Runs a command on operators.
pub async fn run(args: &OperatorArgs) -> Result<(), CommandError> {
    let client = Client::with_admin(args.admin)?;
    match &args.command {
        OperatorCommand::Add(add) => make(&client, add).await,
        OperatorCommand::List(_) => list(&client).await,
        OperatorCommand::Remove(remove) => {
            let key = RowKey::Operator(remove.name.clone());
            write(&client, RowWrite { key, value: None, expected: None }).await
        }
    }
}

async fn make(client: &Client, args: &AddOperatorArgs) -> Result<(), CommandError> {
    let name = &args.name;
    let token = format!("{name}{TOKEN_SEPARATOR}{:032x}", rand::random::<u128>());
    let salt = format!("{:016x}", rand::random::<u64>());
    let hash = token::digest(&salt, &token);
    let row = OperatorRow { group: args.group.clone(), salt, hash };
    let value = Some(serde_json::to_value(row)?);
    write(client, RowWrite { key: RowKey::Operator(name.clone()), value, expected: None }).await?;
    print::line(&token);
    Ok(())
}

async fn write(client: &Client, write: RowWrite) -> Result<(), CommandError> {
    let version = command::change(client, None, vec![write]).await?;
    // The token alone goes to standard output, so that a script can keep it.
    eprintln!("accepted as version {version}");
    Ok(())
}

async fn list(client: &Client) -> Result<(), CommandError> {
    let mut lines = vec![vec!["OPERATOR".to_owned(), "GROUP".to_owned()]];
    for row in command::rows(client, "operator/").await? {
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
