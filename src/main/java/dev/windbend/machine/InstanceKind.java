package dev.windbend.machine;

/** The attributes by which the cloud allocates instances; type and zone as dense indexes. */
record InstanceKind(int type, int zone, boolean spot) {
  static InstanceKind of(Machine machine) {
    return new InstanceKind(machine.type().index(), machine.zone(), machine.spot());
  }

  static InstanceKind of(ScaleOutRequest request) {
    return new InstanceKind(request.type.index(), request.zone, request.record.spot());
  }
}
