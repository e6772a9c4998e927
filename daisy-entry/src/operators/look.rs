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
    control::{Input, Sight},
    operators::Port,
};

/// How long another holder may take to tell what it knows.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Answers from the ledger and from what all holders know; `None` while stopping.
///
/// What a holder that does not answer knows is left out, and the answer says so where it
/// matters: `-` stands for what is not known.
pub(super) async fn look(port: &Port, statement: &Statement) -> Option<StatementResultJson> {
    let (reply, sight) = oneshot::channel();
    port.control.send(Input::Look { reply }).await.ok()?;
    let Sight { state, vms, dcs, own, holders } = sight.await.ok()?;
    let mut live = own;
    live.dcs = dcs;
    live.vms = vms.iter().map(|vm| (vm.id, vm.clone())).collect();
    let asked = holders.iter().map(|vm| port.links.ask(*vm, PeerQuery::LiveView, HOLDER_TIMEOUT));
    for answer in join_all(asked).await {
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

/// What an operator should know at once of a job that was just created.
///
/// A task that no listed worker holds would otherwise wait for ever without a word.
pub(super) async fn notes(port: &Port, spec: &JobSpec) -> Option<Vec<String>> {
    let (reply, sight) = oneshot::channel();
    port.control.send(Input::Look { reply }).await.ok()?;
    let Sight { vms, dcs, .. } = sight.await.ok()?;
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
