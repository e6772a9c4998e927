//! Answers statements that change nothing.

use std::time::Duration;

use daisy_language::Statement;
use daisy_model::{JobSpec, Vm};
use daisy_query::LiveView;
use daisy_wire::{
    operator::StatementResultJson,
    peer::{PeerAnswer, PeerQuery},
};
use futures::future::join_all;
use tokio::sync::oneshot;

use crate::{
    control::{Input, QueryData},
    operators::OperatorContext,
};

/// How long another holder may take to answer.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Answers a query from the ledger and from what all holders know; returns `None` while stopping.
///
/// Data of a holder that does not answer is left out, and the answer shows this where it matters:
/// `-` stands for an unknown value.
pub(super) async fn answer_query(
    context: &OperatorContext,
    statement: &Statement,
) -> Option<StatementResultJson> {
    let (reply, query_data) = oneshot::channel();
    context.control.send(Input::QueryData { reply }).await.ok()?;
    let QueryData { state, vms, dcs, own, holders } = query_data.await.ok()?;
    let mut live = own;
    live.dcs = dcs;
    live.vms = vms.iter().map(|vm| (vm.id, vm.clone())).collect();
    let queries =
        holders.iter().map(|vm| context.links.send_query(*vm, PeerQuery::LiveView, HOLDER_TIMEOUT));
    for answer in join_all(queries).await {
        if let Some(PeerAnswer::LiveView(theirs)) = answer {
            merge(&mut live, *theirs);
        }
    }
    Some(match daisy_query::run(&state, &live, statement) {
        Ok(table) => StatementResultJson::Table {
            columns: table.columns.into_iter().map(str::to_owned).collect(),
            rows: table.rows,
        },
        Err(e) => StatementResultJson::Refused { cause: e.to_string() },
    })
}

/// Returns notes for an operator on a job that was just created.
///
/// Without them a task that fits on no listed worker would wait for ever without an explanation.
pub(super) async fn capacity_notes(
    context: &OperatorContext,
    spec: &JobSpec,
) -> Option<Vec<String>> {
    let (reply, query_data) = oneshot::channel();
    context.control.send(Input::QueryData { reply }).await.ok()?;
    let QueryData { vms, dcs, .. } = query_data.await.ok()?;
    let is_allowed = |vm: &&Vm| {
        let name = dcs.get(usize::from(vm.dc.0));
        spec.data_centres.is_empty() || name.is_some_and(|it| spec.data_centres.contains(it))
    };
    Some(
        daisy_query::describe_misfit(vms.iter().filter(is_allowed), spec.size)
            .into_iter()
            .collect(),
    )
}

fn merge(live: &mut LiveView, theirs: LiveView) {
    for (task, it) in theirs.tasks.iter() {
        live.tasks.insert(*task, *it);
    }
    for (vm, it) in theirs.workers.iter() {
        live.workers.insert(*vm, *it);
    }
    live.reasons.extend(theirs.reasons);
    live.reasons.sort_by_key(|it| it.at);
}
