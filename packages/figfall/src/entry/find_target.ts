import {createFailure} from '@figfall/decisions';
import type {Failure} from '@figfall/decisions';
import {placementTarget} from '@figfall/operator';
import type {ConfigView, RecordDataByKind} from '@figfall/operator';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';

function mayCall(workspaces: readonly string[], workspace: string): boolean {
  return workspaces.includes(workspace) || workspaces.includes('*');
}

/** Name under which callers ask for the model of a placement. */
function callersName(placement: RecordDataByKind['placement']): string {
  const {model, adapter} = placement;
  return adapter ? `${model}+${adapter}` : model;
}

/** Finds what records let a workspace call. */
export const findTarget = {
  /** Returns the model, version and adapter that serves a workspace. */
  model(
    view: ConfigView,
    workspace: string,
    model: string,
  ): Result<string, Failure> {
    const placements = view
      .all('placement')
      .filter(placement => callersName(placement) === model)
      .filter(({workspaces}) => mayCall(workspaces, workspace));
    const own = placements.find(({workspaces}) =>
      workspaces.includes(workspace),
    );
    const found = own ?? placements.at(0);
    if (found) return ok(placementTarget(found));
    const names = findTarget.models(view, workspace).join(', ') || 'none';
    return err(
      createFailure(
        'model-not-served',
        `Model "${model}" does not serve workspace ${workspace}. Models that do: ${names}.`,
      ),
    );
  },

  models(view: ConfigView, workspace: string): string[] {
    const names = view
      .all('placement')
      .filter(({workspaces}) => mayCall(workspaces, workspace))
      .map(callersName);
    return [...new Set(names)].sort();
  },

  service(
    view: ConfigView,
    workspace: string,
    name: string,
  ): Result<RecordDataByKind['service'], Failure> {
    const service = view.find('service', name);
    if (service && mayCall(service.workspaces, workspace)) return ok(service);
    return err(
      createFailure(
        'unknown-service',
        `There is no service "${name}" for workspace ${workspace}.`,
      ),
    );
  },
};
