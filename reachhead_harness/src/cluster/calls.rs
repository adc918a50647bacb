//! Operations on a running cluster: configuration changes, fault injection, reads and counters.

use serde_json::{Value, json};

use crate::{
    Call, Reply, call,
    cluster::{Cluster, TOKEN, fetch_state, random_id, wait_ready},
    eventually,
};

impl Cluster {
    /// Writes `rows` as one change and returns its version.
    ///
    /// # Panics
    ///
    /// If the admin does not accept the change.
    pub async fn change(&self, rows: Vec<(String, Value)>) -> u64 {
        let reply = self.try_change(&random_id(), rows).await;
        assert_eq!(reply.status, 200, "{reply:?}");
        let accepted: Value = serde_json::from_str(&reply.body).expect("the reply is JSON");
        accepted["version"].as_u64().expect("the reply has a version")
    }

    /// Submits `rows` to the admin as one change and returns its reply.
    pub async fn try_change(&self, id: &str, rows: Vec<(String, Value)>) -> Reply {
        let writes: Vec<Value> =
            rows.into_iter().map(|(key, value)| json!({ "key": key, "value": value })).collect();
        let body = json!({ "id": id, "writes": writes }).to_string();
        self.admin_call(Call::post("/v1/changes", &body)).await
    }

    /// Deletes a row and returns the admin's reply.
    pub async fn delete(&self, key: &str) -> Reply {
        let body = json!({ "id": random_id(), "writes": [{ "key": key }] }).to_string();
        self.admin_call(Call::post("/v1/changes", &body)).await
    }

    /// Sends a request with the operators' token to the admin.
    pub async fn admin_call(&self, request: Call) -> Reply {
        let request = request.with_header("authorization", format!("Bearer {TOKEN}"));
        call(self.admin, &request).await
    }

    /// Waits until every entry host is ready.
    pub async fn wait_all_ready(&self) {
        for host in &self.hosts {
            wait_ready(host.entry_ops).await;
        }
    }

    /// Waits until `version` is in force in every entry process.
    pub async fn wait_in_force(&self, version: u64) {
        for host in &self.hosts {
            eventually("the version is in force", async || {
                let state = fetch_state(host.entry_ops).await;
                (state["version"].as_u64()? >= version).then_some(())
            })
            .await;
        }
    }

    /// Sets the faults of the store, in place of the current ones.
    pub async fn set_store_fault(&self, fault: Value) {
        let reply = call(self.store, &Call::post("/fault", &fault.to_string())).await;
        assert_eq!(reply.status, 200, "{reply:?}");
    }

    /// Sets the state of a host that the platform reports, such as `running` and `is_up`.
    pub async fn set_host_state(&self, state: Value) {
        let reply = call(self.store, &Call::post("/platform", &state.to_string())).await;
        assert_eq!(reply.status, 200, "{reply:?}");
    }

    /// Adds a host to a pool.
    pub async fn add_worker(&self, host: &str, pool: &str) {
        let new = json!({ "host": host, "pool": pool, "zone": "z1", "rack": "r1" });
        let reply = self.admin_call(Call::post("/v1/hosts", &new.to_string())).await;
        assert_eq!(reply.status, 200, "{reply:?}");
    }

    /// Assigns the minions to `count` workers by number, modulo `count`: `m0` to `w0`.
    pub async fn place_minions(&self, count: usize) {
        let mut rows = Vec::new();
        for minion in &self.minions {
            let number: usize = minion.id.trim_start_matches('m').parse().unwrap_or_default();
            let (key, mut row) = self.minion_row(minion, "serving");
            row["host"] = json!(format!("w{}", number % count));
            rows.push((key, row));
        }
        let version = self.change(rows).await;
        self.wait_in_force(version).await;
    }

    /// Requests the move of a host to a pool.
    pub async fn move_worker(&self, host: &str, pool: &str) {
        let request = json!({ "pool": pool }).to_string();
        let reply = self.admin_call(Call::post(&format!("/v1/hosts/{host}/want"), &request)).await;
        assert_eq!(reply.status, 200, "{reply:?}");
    }

    /// Returns the JSON that the admin serves at `path`.
    pub async fn admin_get(&self, path: &str) -> Value {
        let reply = self.admin_call(Call::get(path)).await;
        assert_eq!(reply.status, 200, "{reply:?}");
        serde_json::from_str(&reply.body).expect("the reply is JSON")
    }

    /// Returns the store's counters of calls.
    pub async fn store_counts(&self) -> Value {
        let reply = call(self.store, &Call::get("/count")).await;
        serde_json::from_str(&reply.body).expect("the reply is JSON")
    }

    /// Sets the faults of a minion, in place of the current ones.
    pub async fn set_minion_fault(&self, index: usize, fault: Value) {
        let body = fault.to_string();
        let reply = call(self.minions[index].address, &Call::post("/standin/fault", &body)).await;
        assert_eq!(reply.status, 200, "{reply:?}");
    }

    /// Returns a minion's counters of requests and connections.
    pub async fn minion_counts(&self, index: usize) -> Value {
        let reply = call(self.minions[index].address, &Call::get("/standin/count")).await;
        serde_json::from_str(&reply.body).expect("the reply is JSON")
    }

    /// Returns how often requests with `key` ran, summed over all minions.
    pub async fn count_runs(&self, key: &str) -> u64 {
        let mut runs = 0;
        for index in 0..self.minions.len() {
            runs += self.minion_counts(index).await["by_key"][key].as_u64().unwrap_or_default();
        }
        runs
    }

    /// Sends a request to an entry host.
    pub async fn call(&self, host: usize, request: &Call) -> Reply {
        call(self.hosts[host].callers, request).await
    }
}
