//! Applies records of evacuations to the gateway.

use super::apply::Source;
use super::evacuation_effect::EvacuationEffect;
use super::evacuation_record::EvacuationRecord;
use super::routes_read::RoutesRead;
use super::sharing::freshness::CopyState;
use super::Gateway;
use crate::edge::directory::{Change, DecodedChange};
use crate::edge::position::Position;
use crate::prelude::*;

impl Gateway {
    /// Applies the records of evacuations in a batch of the routes' feed that ends at `end`.
    pub fn apply_evacuations(
        &self,
        changes: &[(Change, Option<DecodedChange>)],
        end: Position,
        read: RoutesRead,
    ) {
        let records = changes.iter().filter_map(|(change, decoded)| match decoded.as_ref()? {
            DecodedChange::Evacuation { domain, state } => Some(EvacuationRecord {
                domain: domain.clone(),
                position: change.position,
                state: *state,
            }),
            DecodedChange::Routes(_)
            | DecodedChange::Target(_)
            | DecodedChange::Removed
            | DecodedChange::Unusable(_) => None,
        });
        let records: Vec<EvacuationRecord> = records.collect();
        let now = Instant::now();
        if read.is_snapshot {
            let mut evacuations = self.evacuations.borrow_mut();
            let effects = evacuations.apply_snapshot(&records, end, read.copy, now);
            drop(evacuations);
            return self.record_evacuations(&effects, Source::Directory);
        }
        let mut evacuations = self.evacuations.borrow_mut();
        let mut effects = Vec::new();
        for record in records {
            let effect = evacuations.apply(&record, read.copy, now);
            effects.push((record, effect));
        }
        evacuations.set_complete_to(end, now);
        drop(evacuations);
        self.record_evacuations(&effects, Source::Directory);
    }

    /// Applies the evacuations that another entry knows, up to its position `end` if it has one.
    pub fn apply_shared_evacuations(
        &self,
        records: &[EvacuationRecord],
        end: Option<Position>,
        copy: CopyState,
    ) {
        let now = Instant::now();
        // Without a position, the other entry's set does not tell which evacuations have ended.
        let end = end.unwrap_or_default();
        let effects = self.evacuations.borrow_mut().apply_shared(records, end, copy, now);
        self.record_evacuations(&effects, Source::Entry);
    }

    /// Logs the effects of records, and drops the encoded copy for subscribers if one has changed
    /// the set.
    fn record_evacuations(&self, effects: &[(EvacuationRecord, EvacuationEffect)], source: Source) {
        for (record, effect) in effects {
            log_effect(record, *effect, source);
        }
        if effects.iter().any(|(_, effect)| effect.is_change()) {
            self.sharing.subscribers.drop_full_message();
        }
    }
}

fn log_effect(record: &EvacuationRecord, effect: EvacuationEffect, source: Source) {
    let (domain, offset, source_name) = (&*record.domain, record.position.offset, source.name());
    match effect {
        EvacuationEffect::Began => {
            log::info!(domain, offset, source = source_name; "evacuation began");
        }
        EvacuationEffect::Ended => {
            log::info!(domain, offset, source = source_name; "evacuation ended");
        }
        // Other entries repeat their whole set in each update, which would repeat the line.
        EvacuationEffect::Refused if source == Source::Directory => {
            log::warn!(domain, offset; "evacuation refused, too many domains");
        }
        EvacuationEffect::Refused | EvacuationEffect::Renewed | EvacuationEffect::Unchanged => {}
    }
}
