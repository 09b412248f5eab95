/** PEM-encoded credentials for links over mutual TLS. */
export interface LinkTls {
  readonly key: string;
  readonly cert: string;
  readonly ca: string;
}
