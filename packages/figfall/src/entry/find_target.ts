import {createFailure} from '@figfall/decisions';
import type {Failure} from '@figfall/decisions';
import {placementTarget} from '@figfall/operator';
import type {ConfigView, RecordDataByKind} from '@figfall/operator';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';

function isAllowed(workspaces: readonly string[], workspace: string): boolean {
  return workspaces.includes(workspace) || workspaces.includes('*');
}

/** Returns the name by which callers request the model of a placement. */
function publicModelName(placement: RecordDataByKind['placement']): string {
  const {model, adapter} = placement;
  return adapter ? `${model}+${adapter}` : model;
}

/** Finds the models and services that a workspace may call. */
export const findTarget = {
  /**
   * Returns the target `model@version[+adapter]` for a model name. A placement
   * that lists the workspace comes before one for all workspaces.
   */
  model(
    view: ConfigView,
    workspace: string,
    model: string,
  ): Result<string, Failure> {
    const placements = view
      .all('placement')
      .filter(placement => publicModelName(placement) === model)
      .filter(({workspaces}) => isAllowed(workspaces, workspace));
    const own = placements.find(({workspaces}) =>
      workspaces.includes(workspace),
    );
    const placement = own ?? placements.at(0);
    if (placement) return ok(placementTarget(placement));
    const names = findTarget.modelNames(view, workspace).join(', ') || 'none';
    return err(
      createFailure(
        'model-not-served',
        `Model "${model}" is not served for workspace "${workspace}". Available models: ${names}.`,
      ),
    );
  },

  /** Returns the sorted names of the models that a workspace may call. */
  modelNames(view: ConfigView, workspace: string): string[] {
    const names = view
      .all('placement')
      .filter(({workspaces}) => isAllowed(workspaces, workspace))
      .map(publicModelName);
    return [...new Set(names)].sort();
  },

  /** Returns the record of a service that a workspace may call. */
  service(
    view: ConfigView,
    workspace: string,
    name: string,
  ): Result<RecordDataByKind['service'], Failure> {
    const service = view.find('service', name);
    if (service && isAllowed(service.workspaces, workspace)) return ok(service);
    return err(
      createFailure(
        'unknown-service',
        `Service "${name}" does not exist or is not open to workspace "${workspace}".`,
      ),
    );
  },
};
