/** Where an entry listens for links of other entries. */
export interface EntryAddress {
  readonly host: string;
  readonly port: number;
}
