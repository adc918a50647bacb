//! What tests ask of a running system: changes, faults, reads, counts.

use serde_json::{Value, json};

use crate::{
    Call, Reply, call,
    cluster::{Cluster, TOKEN, fetch_state, random_id, wait_ready},
    eventually,
};

impl Cluster {
    /// Makes one change and returns its version.
    pub async fn change(&self, rows: Vec<(String, Value)>) -> u64 {
        let reply = self.try_change(&random_id(), rows).await;
        assert_eq!(reply.status, 200, "{reply:?}");
        let accepted: Value = serde_json::from_str(&reply.body).expect("the test system works");
        accepted["version"].as_u64().expect("the test system works")
    }

    /// Asks the admin for one change.
    pub async fn try_change(&self, id: &str, rows: Vec<(String, Value)>) -> Reply {
        let writes: Vec<Value> =
            rows.into_iter().map(|(key, value)| json!({ "key": key, "value": value })).collect();
        let body = json!({ "id": id, "writes": writes }).to_string();
        self.admin_call(Call::post("/v1/changes", &body)).await
    }

    /// Deletes a row.
    pub async fn delete(&self, key: &str) -> Reply {
        let body = json!({ "id": random_id(), "writes": [{ "key": key }] }).to_string();
        self.admin_call(Call::post("/v1/changes", &body)).await
    }

    /// Calls the admin as an operator.
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

    /// Sets what the store does wrong.
    pub async fn set_store_fault(&self, fault: Value) {
        let reply = call(self.store, &Call::post("/fault", &fault.to_string())).await;
        assert_eq!(reply.status, 200, "{reply:?}");
    }

    /// Sets how the platform finds a host.
    pub async fn set_host_state(&self, knob: Value) {
        let reply = call(self.store, &Call::post("/platform", &knob.to_string())).await;
        assert_eq!(reply.status, 200, "{reply:?}");
    }

    /// Adds a host to a pool.
    pub async fn add_worker(&self, host: &str, pool: &str) {
        let new = json!({ "host": host, "pool": pool, "zone": "z1", "rack": "r1" });
        let reply = self.admin_call(Call::post("/v1/hosts", &new.to_string())).await;
        assert_eq!(reply.status, 200, "{reply:?}");
    }

    /// Puts the minions on `count` workers in turn, w0 first.
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

    /// Asks for a host to be moved to a pool.
    pub async fn move_worker(&self, host: &str, pool: &str) {
        let want = json!({ "pool": pool }).to_string();
        let reply = self.admin_call(Call::post(&format!("/v1/hosts/{host}/want"), &want)).await;
        assert_eq!(reply.status, 200, "{reply:?}");
    }

    /// Returns what an admin's read of `path` gives.
    pub async fn admin_get(&self, path: &str) -> Value {
        let reply = self.admin_call(Call::get(path)).await;
        assert_eq!(reply.status, 200, "{reply:?}");
        serde_json::from_str(&reply.body).expect("the test system works")
    }

    /// Returns the store's counts.
    pub async fn store_counts(&self) -> Value {
        let reply = call(self.store, &Call::get("/count")).await;
        serde_json::from_str(&reply.body).expect("the test system works")
    }

    /// Sets what a minion does wrong.
    pub async fn set_minion_fault(&self, index: usize, fault: Value) {
        let body = fault.to_string();
        let reply = call(self.minions[index].address, &Call::post("/standin/fault", &body)).await;
        assert_eq!(reply.status, 200, "{reply:?}");
    }

    /// Returns what a minion counted.
    pub async fn minion_counts(&self, index: usize) -> Value {
        let reply = call(self.minions[index].address, &Call::get("/standin/count")).await;
        serde_json::from_str(&reply.body).expect("the test system works")
    }

    /// Returns how often requests with `key` ran, over all minions that answer.
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
