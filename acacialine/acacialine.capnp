@0xb5d1c5a3e1f00d17;
# Wire format of the messages between entries.
#
# `codec.py` pairs the structs and fields by name with the classes and attributes
# of `messages.py`, which documents them.

struct HeldReport { broker @0 :Text; seq @1 :UInt64; backendId @2 :Text; }

struct MemberReport {
  incarnation @0 :Text;
  name @1 :Text;
  zone @2 :Text;
  state @3 :Text;
  configOffset @4 :Int64;
  ageMs @5 :UInt32;
  callerAddress @6 :Text;
}

struct BackendReport { backendId @0 :Text; leaving @1 :Bool; }

struct TeamDemand { team @0 :Text; rate @1 :Float64; }

struct Heartbeat {
  sender @0 :Text;
  name @1 :Text;
  zone @2 :Text;
  state @3 :Text;
  beat @4 :UInt64;
  sentAt @5 :Float64;
  configOffset @6 :Int64;
  successor @7 :Text;
  callerAddress @8 :Text;
  lastSeq @9 :UInt64;
  slots @10 :UInt32;
  free @11 :UInt32;
  workS @12 :Float64;
  waiting @13 :UInt32;
  held @14 :List(HeldReport);
  members @15 :List(MemberReport);
  backends @16 :List(BackendReport);
  demand @17 :List(TeamDemand);
  heldSeqs @18 :List(UInt64);
  due @19 :List(Float64);
}

struct AskEntry {
  team @0 :Text;
  kind @1 :Text;
  isLong @2 :Bool;
  count @3 :UInt32;
  rank @4 :Float64;
  leaseMs @5 :UInt32;
}

struct AskMessage {
  sender @0 :Text;
  sentAt @1 :Float64;
  lastSeq @2 :UInt64;
  entries @3 :List(AskEntry);
  free @4 :UInt32;
  due @5 :List(Float64);
  waiting @6 :UInt32;
}

struct GrantEntry {
  seq @0 :UInt64;
  backendId @1 :Text;
  team @2 :Text;
  kind @3 :Text;
  isLong @4 :Bool;
  leaseMs @5 :UInt32;
}

struct GrantMessage {
  sender @0 :Text;
  askSentAt @1 :Float64;
  waitedMs @2 :UInt32;
  free @3 :UInt32;
  entries @4 :List(GrantEntry);
  floorRank @5 :Float64;
}

struct ReleaseEntry {
  seq @0 :UInt64;
  reason @1 :UInt8;
  runMs @2 :UInt32;
  expectedMs @3 :UInt32;
}

struct ReleaseMessage {
  sender @0 :Text;
  entries @1 :List(ReleaseEntry);
  free @2 :UInt32;
}

struct LeavingMessage { sender @0 :Text; successor @1 :Text; }

struct Header { name @0 :Text; value @1 :Text; }

struct ForwardCall {
  method @0 :Text;
  path @1 :Text;
  authorization @2 :Text;
  headers @3 :List(Header);
  body @4 :Data;
}

struct ForwardReply {
  status @0 :UInt16;
  headers @1 :List(Header);
  body @2 :Data;
}

struct RelayCall {
  sender @0 :Text;
  seq @1 :UInt64;
  backendId @2 :Text;
  taskId @3 :Text;
  kind @4 :Text;
  deadlineMs @5 :UInt32;
  leaseMs @6 :UInt32;
  body @7 :Data;
}

struct RelayReply {
  outcome @0 :Text;
  status @1 :UInt16;
  contentType @2 :Text;
  reason @3 :Text;
  body @4 :Data;
}

struct StopCall { backendId @0 :Text; taskId @1 :Text; }

struct HandoverAnswer {
  team @0 :Text;
  submissionId @1 :Text;
  digest @2 :Data;
  status @3 :UInt16;
  outcome @4 :Text;
  code @5 :Text;
  body @6 :Data;
}

struct HandoverTombstone {
  key @0 :Data;
  digest @1 :Data;
  outcome @2 :Text;
}

struct HandoverCall {
  coordinator @0 :Text;
  answers @1 :List(HandoverAnswer);
  tombstones @2 :List(HandoverTombstone);
  isLast @3 :Bool;
}

struct ConfigCall { offset @0 :Int64; }

struct ConfigReply { offset @0 :Int64; snapshot @1 :Data; }

struct Acknowledged { }

struct ZoneState {
  sender @0 :Text;
  name @1 :Text;
  zone @2 :Text;
  started @3 :Float64;
  claim @4 :UInt64;
  isCandidate @5 :Bool;
  configVersion @6 :UInt64;
  freeTasks @7 :UInt32;
  placerId @8 :Text;
  placerClaim @9 :UInt64;
  isReply @10 :Bool;  # no longer used
  weight @11 :Float64;
  serverCount @12 :UInt32;
  serverListOffset @13 :UInt64;
  knowsJobs @14 :Bool;
}

struct SubmitJob {
  jobId @0 :Text;
  queue @1 :Text;
  service @2 :Text;
  priority @3 :Int32;
  maxAttempts @4 :UInt32;
  stretch @5 :Float64;
  targetLatencyS @6 :Float64;
  spec @7 :Text;
  count @8 :UInt32;
  cpu @9 :UInt32;
  memoryMb @10 :UInt32;
  gpu @11 :UInt32;
  estimateS @12 :Float64;
  label @13 :Text;
  ageS @14 :Float64;
  leftS @15 :Float64;
  handovers @16 :UInt32;
  isSpilled @17 :Bool;
  configVersion @18 :UInt64;
  joinsOnly @19 :Bool;
}

struct CancelJob { jobId @0 :Text; reason @1 :Text; }

struct KeepJob { jobId @0 :Text; isConfirmed @1 :Bool; }

struct JobKept { jobId @0 :Text; zone @1 :Text; isRelayed @2 :Bool; }

struct KeptConfirmed { jobId @0 :Text; }

struct TaskLost {
  jobId @0 :Text;
  index @1 :UInt32;
  crashes @2 :UInt32;
  uncertain @3 :UInt32;
  isRelayed @4 :Bool;
}

struct JobVerdict {
  jobId @0 :Text;
  verdict @1 :Text;
  reason @2 :Text;
  retryAfterS @3 :Float64;
}

struct RoutesCall { version @0 :UInt64; }

struct RoutesReply { version @0 :UInt64; document @1 :Data; }

struct EvacuatedZone { zone @0 :Text; ageS @1 :Float64; }

struct EvacuationState { offset @0 :UInt64; zones @1 :List(EvacuatedZone); }

struct EndedJobs {
  completed @0 :Data;  # ids of jobs, 8 bytes each
  failed @1 :Data;
  cancelled @2 :Data;
  isRelayed @3 :Bool;
  running @4 :Data;
  zone @5 :Text;
  number @6 :UInt64;
}

struct OpenJobsConfirmed { number @0 :UInt64; }

struct CancelCall { jobId @0 :Text; }

struct CancelReply { jobId @0 :Text; wasOpen @1 :Bool; }

struct ServerKnowledge {
  id @0 :Text;
  incarnation @1 :UInt64;
  slowness @2 :Float64;
  failureRate @3 :Float64;
}

struct QueueKnowledge { name @0 :Text; estimateRatio @1 :Float64; }

struct LearnedState {
  zone @0 :Text;
  servers @1 :List(ServerKnowledge);
  queues @2 :List(QueueKnowledge);
}

struct ServerRecord { id @0 :Text; record @1 :Data; }

struct ServerList { zone @0 :Text; records @1 :List(ServerRecord); }

struct ServiceSummary {
  name @0 :Text;
  largestCpu @1 :UInt64;
  holes @2 :List(UInt16);
  soonCpu @3 :List(UInt64);
  waitingCpu @4 :List(UInt64);
  waitingCoreS @5 :Float32;
  usableCpu @6 :UInt64;
  slowness @7 :Float32;
  taskCpu @8 :UInt64;
}

struct ZoneSummary {
  zone @0 :Text;
  epoch @1 :UInt64;
  version @2 :UInt32;
  ageMs @3 :UInt32;
  isPressed @4 :Bool;
  isFull @5 :Bool;
  services @6 :List(ServiceSummary);
}

# A word after the message may tell when it was sent, see `codec.encode_time`.
struct Frame {
  requestId @0 :UInt64;  # 0 for a one-way message
  union {
    none @1 :Void;  # default of an unset union; receivers reject it
    heartbeat @2 :Heartbeat;
    askMessage @3 :AskMessage;
    grantMessage @4 :GrantMessage;
    releaseMessage @5 :ReleaseMessage;
    leavingMessage @6 :LeavingMessage;
    forwardCall @7 :ForwardCall;
    forwardReply @8 :ForwardReply;
    relayCall @9 :RelayCall;
    relayReply @10 :RelayReply;
    stopCall @11 :StopCall;
    handoverCall @12 :HandoverCall;
    configCall @13 :ConfigCall;
    configReply @14 :ConfigReply;
    acknowledged @15 :Acknowledged;
    zoneState @16 :ZoneState;
    submitJob @17 :SubmitJob;
    cancelJob @18 :CancelJob;
    jobVerdict @19 :JobVerdict;
    routesCall @20 :RoutesCall;
    routesReply @21 :RoutesReply;
    keepJob @22 :KeepJob;
    jobKept @23 :JobKept;
    keptConfirmed @24 :KeptConfirmed;
    taskLost @25 :TaskLost;
    evacuationState @26 :EvacuationState;
    endedJobs @27 :EndedJobs;
    cancelCall @28 :CancelCall;
    cancelReply @29 :CancelReply;
    learnedState @30 :LearnedState;
    zoneSummary @31 :ZoneSummary;
    serverList @32 :ServerList;
    openJobsConfirmed @33 :OpenJobsConfirmed;
  }
}
