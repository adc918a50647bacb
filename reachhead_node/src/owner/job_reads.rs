//! Reads of stored jobs that the owner was not notified of.

use std::{mem, sync::Arc};

use reachhead_jobs::{clock::Tick, pool::RecoveredJobs, record::JobRecord};
use reachhead_ops::event::{Event, emit};
use reachhead_store::{
    StoreError,
    row::{Page, Row},
};
use reachhead_types::id::JobId;

use super::{Input, Owner, id_of, job_scan::JobScan};
use crate::peer::AcceptedJob;

impl Owner {
    /// Adds the jobs that the previous owner left. From here on the owner serves the pool.
    pub(super) fn recover_jobs(&mut self, found: RecoveredJobs, now: Tick) {
        self.pool.recover_jobs(found, now, self.node.clock.wall());
        self.job_scan = JobScan::new(self.node.bulk_reads.capacity(), now);
        let early_jobs = mem::take(&mut self.early_jobs);
        self.submit(early_jobs, now);
    }

    /// Adds jobs that were accepted and stored.
    pub(super) fn submit(&mut self, jobs: Vec<AcceptedJob>, now: Tick) {
        let wall = self.node.clock.wall();
        for AcceptedJob { id, record, row } in jobs {
            self.pool.submit(id, &record, row, now, wall);
        }
    }

    /// Reads the next page of stored jobs when it is due.
    pub(super) fn scan(&mut self, now: Tick) {
        if self.pool.is_recovering() {
            return;
        }
        let Some(scan) = self.job_scan.next(self.pool.name(), now) else {
            return;
        };
        let node = Arc::clone(&self.node);
        self.spawn_call(async move {
            let _permit = node.bulk_reads.acquire(scan.limit).await;
            let sent = node.now();
            let page = node.services.store.scan(scan).await;
            node.record_store_result(&page);
            Some(Input::JobsScanned(sent, page))
        });
    }

    pub(super) fn handle_scan(&mut self, sent: Tick, result: Result<Page, StoreError>, now: Tick) {
        self.job_scan.record(&result, sent, now);
        let rows = match result {
            Ok(page) => page.rows,
            Err(error) => {
                log::info!("stored jobs can't be read: {error}");
                return;
            }
        };
        self.submit_rows(&rows, now);
    }

    /// Processes the rows of jobs of which workers report runs.
    pub(super) fn handle_lookup(
        &mut self,
        jobs: &[JobId],
        result: Result<Vec<Option<Row>>, StoreError>,
        now: Tick,
    ) {
        match &result {
            Ok(rows) => {
                let stored: Vec<Row> = rows.iter().flatten().cloned().collect();
                self.submit_rows(&stored, now);
            }
            Err(error) => log::info!("jobs of reported runs can't be read: {error}"),
        }
        self.pool.jobs_found(jobs, result.is_ok(), now);
    }

    /// Submits the stored jobs that the pool does not know.
    fn submit_rows(&mut self, rows: &[Row], now: Tick) {
        for row in rows {
            let Some(id) = id_of(&row.key) else {
                continue;
            };
            if self.pool.jobs().contains_key(&id) {
                continue;
            }
            match row.parse::<JobRecord>() {
                Ok(record) => {
                    let wall = self.node.clock.wall();
                    self.pool.submit_found(id, &record, row.revision, now, wall);
                }
                Err(error) => emit(Event::RowRefused, error),
            }
        }
    }
}
