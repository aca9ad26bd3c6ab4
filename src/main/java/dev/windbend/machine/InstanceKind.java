package dev.windbend.machine;

/** What the cloud tells apart when it grants instances; type and zone by dense index. */
record InstanceKind(int type, int zone, boolean spot) {
  static InstanceKind of(Machine machine) {
    return new InstanceKind(machine.type().index(), machine.zone(), machine.spot());
  }

  static InstanceKind of(ScaleOutRequest request) {
    return new InstanceKind(request.type.index(), request.zone, request.record.spot());
  }
}
