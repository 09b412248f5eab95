interface Link {
  readonly from: number;
  readonly to: number;
}

function keyOf({from, to}: Link): string {
  return `${from} ${to}`;
}

/** Links between simulated gateways, each in one direction; all are open at first. */
export class FleetLinks {
  /** Gateways that neither send to the others nor get anything from them. */
  readonly cutOff = new Set<number>();
  /** Links that are not open yet, and when they open. */
  private readonly opening = new Map<string, Link & {readonly at: number}>();

  /**
   * Closes all links of a gateway, of a number of them, until each opens at a time
   * of its own, in milliseconds.
   */
  reopen(gateway: number, gateways: number, openAt: () => number): void {
    for (let other = 0; other < gateways; other += 1) {
      if (other === gateway) continue;
      [
        {from: gateway, to: other},
        {from: other, to: gateway},
      ].forEach(link => this.opening.set(keyOf(link), {...link, at: openAt()}));
    }
  }

  isOpen(link: Link): boolean {
    return !this.isCut(link) && !this.opening.has(keyOf(link));
  }

  /** Opens the links that are due, and returns them. */
  takeDue(now: number): readonly Link[] {
    const due = [...this.opening.values()].filter(
      link => link.at <= now && !this.isCut(link),
    );
    due.forEach(link => this.opening.delete(keyOf(link)));
    return due;
  }

  private isCut({from, to}: Link): boolean {
    return this.cutOff.has(from) || this.cutOff.has(to);
  }
}
