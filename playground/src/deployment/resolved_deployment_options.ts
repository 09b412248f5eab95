import type {DeploymentOptions} from './deployment_options.js';

/** Options of a deployment with all defaults filled in. */
export type ResolvedDeploymentOptions = Readonly<Required<DeploymentOptions>>;
