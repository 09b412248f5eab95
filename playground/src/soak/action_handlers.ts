import type {SoakAction} from './soak_action.js';

/** Functions that apply actions, by type. */
export type ActionHandlers<
  Type extends SoakAction['type'] = SoakAction['type'],
> = {
  readonly [Key in Type]: (action: SoakAction & {readonly type: Key}) => void;
};
