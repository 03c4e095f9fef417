// Tasks start in import order; a task may use the services of earlier tasks.
import './store.js';
import './front-ends.js';
import './operations.js';
import './undecided.js';
import './agents.js';
import './lease.js';
import './leadership.js';
import './configuration.js';
import './scheduler.js';
import './directory.js';
import './entry-peers.js';
import './configuration-sharing.js';
import './hand-over.js';
import './callers.js';
import './attach-agent.js';
import './renew-worker.js';
import './count-pending.js';
