// Tasks start in import order; a task may use the services of earlier tasks.
import './supervision.js';
import './entries.js';
import './follow-scheduler.js';
import './start-tasks.js';
import './stop-tasks.js';
import './operations.js';
