/** PEM texts for links over TLS; both sides must show a certificate. */
export interface LinkTls {
  readonly key: string;
  readonly cert: string;
  readonly ca: string;
}
